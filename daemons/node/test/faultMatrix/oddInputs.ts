/**
 * Odd input of others, and the tests that play it.
 */

export interface OddInput {
    readonly from: string;
    readonly input: string;
    readonly file: string;
    /** Part of the test file that names the test. */
    readonly test: string;
}

const calls = "platform/test/calls.test.ts";
const endless = "platform/test/endless.test.ts";
const invalidHeaders = "platform/test/invalidHeaders.test.ts";
/** The loads that `platform/test/hostileClients.test.ts` sends to a sidecar and to a node. */
const hostileClients = "platform/standins/hostileClients.ts";
const malformed = "daemons/node/test/malformed.test.ts";
const otherWriters = "platform/test/otherWriters.test.ts";
/** The entries and heartbeats that the test file plays. */
const otherWriterInputs = "platform/soak/otherWriters.ts";
const messages = "protocol/forwarding/test/messages.test.ts";
const organisations = "platform/test/organisations.test.ts";
const silentLink = "platform/test/silentLink.test.ts";
const quotaPlay = "coordination/quotas/test/quotaPlay.test.ts";
const quotaTask = "platform/test/quotaTask.test.ts";
const silentTargets = "platform/test/silentTargets.test.ts";

function createInput(from: string, input: string, file: string, test: string): OddInput {
    return { from, input, file, test };
}

export const oddInputs: readonly OddInput[] = [
    createInput("target", "header name that cannot be sent", invalidHeaders, "fails that call alone, and the log names the header"),
    createInput("target", "header without a name", calls, "TargetBehaviour.EmptyHeaderName"),
    createInput("target", "bytes that are no response", calls, "TargetBehaviour.Malformed"),
    createInput("target", "head without end", endless, "TargetBehaviour.EndlessHeaders"),
    createInput("target", "body without end", endless, "in the body of a response"),
    createInput("target", "body of a refusal without end", endless, "in the body of a refusal"),
    createInput("target", "body of a failure without end", endless, "in the body of a failure"),
    createInput("target", "bytes after a response without end", endless, "after a complete response"),
    createInput("target", "many bodies without end at once", "platform/test/memory.test.ts", "stays within its limit"),
    createInput("target", "status below 100", "platform/test/statuses.test.ts", "gives the caller a failure without any of it"),
    createInput("target", "many heads and trailers without end at once", "platform/test/memory.test.ts", "survives bytes without end that are no response"),
    createInput("target", "bodies without end in chunks of one byte", "platform/test/memory.test.ts", "survives responses without end"),
    createInput("target", "the same, to `daemons/node`", "daemons/node/test/smallChunks.test.ts", "lives, keeps to its memory and serves"),
    createInput("target", "crash within a response", calls, "within the response"),
    createInput("target", "crash within a streamed response", calls, "within a streamed response"),
    createInput("target", "crash within a refusal", calls, "within a refusal are quarantined"),
    createInput("target", "no response to a request that it cannot queue", silentTargets, "by its second target"),
    createInput("target", "informational response and nothing else", silentTargets, "TargetBehaviour.Informational"),
    createInput("target", "start of a head and nothing else", silentTargets, "TargetBehaviour.StallHead"),
    createInput("caller", "header name that cannot be sent", invalidHeaders, "is refused with 400 before it reaches a target"),
    createInput("caller", "header name that cannot be sent, to `daemons/node`", malformed, "header name with a space"),
    createInput("caller", "odd credentials", organisations, "refuse odd credentials with 401"),
    createInput("caller", "name of an organisation, or a key in a `Connection` header", organisations, "whatever name the client sends"),
    createInput("caller", "key removed by a version, on a kept connection", organisations, "for pipelined requests"),
    createInput("caller", "key of a version that this node lacks", organisations, "what a newer version may allow"),
    createInput("operator", "key that two organisations hold", organisations, "never show a key outside the store"),
    createInput("operator", "name that a header cannot carry, numbers out of range", "state/routes/test/routes.test.ts", "make the configuration invalid with %s"),
    createInput("operator", "storm of versions with other keys", organisations, "never refuse a key that all versions of a storm contain"),
    createInput("caller", "refused request without end", "transport/calls/test/discarding.test.ts", "its sender gets the response"),
    createInput("caller", "many bodies that stop short of their end", hostileClients, "without their last byte"),
    createInput("caller", "many bodies in chunks of one byte", hostileClients, "400,000 chunks of one byte"),
    createInput("caller", "many chunks with extensions", hostileClients, "with an extension of 200 bytes"),
    createInput("caller", "many bodies far over the limit", hostileClients, "far over the limit, not declared"),
    createInput("caller", "thousands of pipelined heads", hostileClients, "2,000 pipelined heads"),
    createInput("caller", "unfinished heads, more connections than allowed, unread responses", hostileClients, "300 unfinished heads"),
    createInput("caller", "malformed bytes behind good requests", "platform/test/pipelining.test.ts", "are answered if malformed bytes follow them"),
    createInput("caller", "requests behind a response that closes the connection", "platform/test/pipelining.test.ts", "are not forwarded while the process stops"),
    createInput("other writer", "port out of range in an entry", otherWriterInputs, "a port above 65535"),
    createInput("other writer", "deeply nested entry", otherWriterInputs, "a deeply nested value"),
    createInput("other writer", "number too large in an entry", otherWriterInputs, "too large a number of slots"),
    createInput("other writer", "text of a megabyte in an entry", otherWriterInputs, "an identifier of a megabyte"),
    createInput("other writer", "crashes at impossible times", otherWriters, "with crashes at impossible times"),
    createInput("other writer", "more changes than one response holds", otherWriters, "that adds more in one go"),
    createInput("other writer", "number too large in a heartbeat", otherWriterInputs, "Sequence: 1e300"),
    createInput("other writer", "state that is the name of a property", otherWriterInputs, "State: \"constructor\""),
    createInput("other writer", "departure that cannot be read", otherWriters, "does not let the target depart"),
    createInput("other node", "head that cannot be sent on", messages, "with a field that cannot be sent on"),
    createInput("other node", "any value in any field", messages, "with any value in any place"),
    createInput("other node", "connection that falls silent for good", silentLink, "for good (%s)"),
    createInput("other node", "frozen while a response is streamed", silentLink, "ends the response at the timeout of the route"),
    createInput("other node", "odd field in a message about quotas", "protocol/forwarding/test/allowanceMessages.test.ts", "is refused as a whole if any field is missing"),
    createInput("other node", "accounting node dies while calls wait", quotaTask, "decide all waiting calls when the accounting node dies"),
    createInput("other node", "accounting node cut off, its frames arrive late", quotaTask, "keep the bound while the accounting node is cut off"),
    createInput("other node", "no reply to requests for tokens", quotaTask, "let a node whose requests get no reply use its equal part"),
    createInput("other node", "accounting node frozen, restarted alone or with all others", quotaPlay, "whose accounting node is %s"),
    createInput("other node", "zone cut off while an organisation is over its quota", quotaPlay, "stay within the bound while a zone is cut off for 5 s"),
];
