/** Tells whether the store is away, so that nothing is begun that needs a write. */
import type {Store} from "@cottonwood/core"

const MAX_SILENCE_MS = 600

/** Whether no call to the store has been answered for a while. */
export function isStoreAway(store: Pick<Store, "silentMs">): boolean {
	return store.silentMs() > MAX_SILENCE_MS
}
