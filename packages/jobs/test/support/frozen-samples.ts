/**
 * Messages between instances and stored entries as literal JSON. Instances of other versions write and read exactly these
 * fields, so the texts change only together with a compatible change of the format.
 */

export const MEMBER =
	'{"name":"b-1","session":"sb","failureDomain":"b","address":"b-1:1","cpuShare":2}'

export const CLAIM = `{"failureDomain":"b","fence":3,"placer":${MEMBER}}`

export const SLICE_CLAIM = `{"failureDomain":"b/slice-1","fence":1000001,"placer":${MEMBER}}`

export const BEAT = `{"from":${MEMBER},"claims":[${CLAIM}],
	"rooms":{"b":{"freeCpu":[30000,1000],"totalCpu":64000,"waitingWork":120,"labels":["r1"]}},
	"isLeaving":true,"isStrained":true,"lateMs":40,"configVersion":3,
	"evacuations":{"revision":9,"failureDomains":["c"]},
	"type":"beat","fences":{"b":3},"wantsAnswer":true}`

export const ROOM =
	'{"type":"room","session":"sb","rooms":{"b":{"freeCpu":[5000],"totalCpu":64000,"waitingWork":7}}}'

export const SPEEDS = '{"fence":4,"executors":{"e1":[9,9]},"labels":{"r1":[-10,5]}}'

export const KEPT_REQUEST = `{"id":"00000000000000aa","queue":"orders","spec":"spec","steps":[
	{"count":3,"need":{"cpu":27000,"memoryMb":64,"accelerators":1},"estimateMs":20000,"after":[],
		"label":"x","rack":"r1","maxPerExecutor":2,"isServing":true},
	{"count":2,"need":{"cpu":1000,"memoryMb":1,"accelerators":0},"estimateMs":100,"after":[],
		"isGang":true,"wantsOneRack":true,"isLasting":true,"isFilling":true},
	{"count":1,"need":{"cpu":1000,"memoryMb":1,"accelerators":0},"estimateMs":100,"after":[0]}],
	"schedule":{"times":1,"firstDueMs":900,"periodMs":500}}`

export const OPEN_JOB = `${KEPT_REQUEST.slice(0, -1)},"home":"b","homeFence":3,"runBase":0,
	"acceptedAtMs":1100,"done":["0.0.0"],"failures":{"0.0.1":1},"crashes":{"0.0.2":1},
	"isCancelled":false,"writer":"sb:3#1/4"}`

export const ENDED_JOB = '{"state":"cancelled","endedAtMs":1220}'

export const QUEUE_TEXT = `{"name":"orders","host":"orders.example","pathPrefix":"/orders/","service":"svc",
	"priority":4,"maxAttempts":2,"stretch":1.6,"slackMs":60}`

export const RUN_JOB = `{"job":{"id":"00000000000000aa","queue":"orders","spec":"spec","steps":[],"been":["c"]},
	"queue":${QUEUE_TEXT},"ageMs":40,"leftMs":1000,"configVersion":3,"failureDomain":"b","from":"sa"}`

export const RUN_TASK = `{"task":{"job":"00000000000000aa","task":"00000000000000aa.0.0.0","run":2,"spec":"spec",
	"service":"svc","need":{"cpu":27000,"memoryMb":64,"accelerators":0},"estimateMs":100,"isBegun":true,
	"priority":0,"label":"x","rack":"r1","maxPerExecutor":2,"avoid":["e2"],"isolation":"preferred",
	"isForeign":false,"been":["c"],"isLasting":true,"isFilling":true,"isServing":true,
	"advice":{"decideMs":5,"perExecutorMs":1},"gang":{"size":2,"wantsOneRack":true}},
	"startInMs":200,"uselessInMs":600,"leftMs":1000,"failureDomain":"b","from":"sa",
	"runsAt":{"executor":"e1","isStarted":true,"stopCause":"stuck"}}`

export const TAKE_OVER = `{"failureDomain":"b","fence":2,"executors":[{"id":"e1","service":"svc","address":"e1:1",
	"failureDomain":"b","capacity":{"cpu":64000,"memoryMb":1000,"accelerators":0},"labels":["r1"],
	"rack":"r1","isLeaving":false}],"from":"sa"}`

export const parseSample = (text: string) => JSON.parse(text) as Readonly<Record<string, unknown>>
/** Returns the room of domain b in a datagram. */
export const roomIn = (text: string) => (parseSample(text)["rooms"] as Record<string, object>)["b"]
/** Returns a value as its receiver parses it: through JSON and back. */
export const serialized = (value: unknown): unknown => JSON.parse(JSON.stringify(value))
