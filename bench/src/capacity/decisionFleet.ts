/**
 * All nodes' control decisions in one process. Messages travel by reference after a fixed delay and are counted as
 * JSON.
 */
import {
    DisseminationInputKind,
    type DisseminationOutput,
    type DisseminationOutputKind,
    type FetchReply,
    type Peer,
} from "@bilberrycroft/coordination.dissemination";
import {
    type MembershipInput,
    MembershipInputKind,
    type MembershipOutput,
    MembershipOutputKind,
} from "@bilberrycroft/coordination.membership";
import { createSnapshot } from "@bilberrycroft/state.snapshots";
import { HandlingTimes, Schedule } from "./carrier";
import { DecisionNode, type Place } from "./decisionNode";
import { ModelStore } from "./modelStore";
import { createRulesText, nameService } from "./rulesFile";

const delayMs = 1;
/** `{"result":{"data":` and its end around each response. */
const responseEnvelopeBytes = 20;
const pushTimeoutMs = 5_000;
const regionCount = 3;

/** Whether nodes can not reach each other. */
export type Partition = (from: Place, to: Place) => boolean;

interface Call {
    readonly from: DecisionNode;
    readonly to: string;
    readonly timeoutMs: number;
    readonly payload: unknown;
    run(target: DecisionNode, reply: (payload: unknown) => void): void;
    /** `undefined`: the call failed. */
    settle(reply: unknown): void;
}

/** The fleet. */
export class DecisionFleet {
    readonly schedule = new Schedule();
    readonly store = new ModelStore();
    readonly times = new HandlingTimes();
    readonly nodes = new Map<string, DecisionNode>();
    partition: Partition = () => false;
    /** Calls that carried configuration: pushes and fetches. */
    configurationCalls = 0;
    private changes = 0;
    private starts = 0;

    /** Place of the host with this number: hosts are spread over the zones in turn. */
    static placeHost(index: number, zones: number): Place {
        const zone = index % zones;
        return {
            host: `host-${index}`,
            zone: `zone-${zone}`,
            region: `region-${zone % regionCount}`,
            service: nameService(index),
        };
    }

    start(place: Place): DecisionNode {
        const run = ++this.starts;
        const node = new DecisionNode(this, place, `${place.host}-${run}`, run);
        this.nodes.set(node.address, node);
        node.start();
        return node;
    }

    /** Ends a node; calls to it are refused, or get no answer if its host is gone. */
    end(node: DecisionNode, hostLost: boolean): void {
        node.isRunning = false;
        if (!hostLost) {
            this.nodes.delete(node.address);
        }
    }

    running(): readonly DecisionNode[] {
        return [...this.nodes.values()].filter(node => node.isRunning);
    }

    /** Accepts the next version in the store. */
    change(): number {
        const version = (this.store.current?.version ?? 0) + 1;
        const snapshot = createSnapshot({
            version,
            parent: version - 1,
            text: createRulesText(this.changes++),
            changeId: `change-${version}`,
            operator: "bench",
            acceptedAt: this.schedule.clock.wallTime(),
        });
        this.store.current = snapshot;
        // The operators' client reads the current version, archives it and writes the next.
        this.store.calls.read++;
        this.store.calls.write += 2;
        this.schedule.after(delayMs, () => this.running().forEach(node => node.takeStored(snapshot)));
        return version;
    }

    /** Carries a call of membership. */
    carryMembership(from: DecisionNode, output: MembershipOutput): void {
        switch (output.kind) {
            case MembershipOutputKind.SendExchange: {
                const { call, to, timeoutMs, exchange } = output;
                return this.carryRequest(from, { to, timeoutMs, payload: exchange }, {
                    request: token => ({ kind: MembershipInputKind.ExchangeRequested, token, exchange }),
                    reply: reply => reply.kind === MembershipOutputKind.ReplyExchange
                        ? { kind: MembershipInputKind.ExchangeReplied, call, exchange: reply.exchange }
                        : undefined,
                    failure: { kind: MembershipInputKind.ExchangeFailed, call },
                });
            }
            case MembershipOutputKind.SendJoin: {
                const { call, to, timeoutMs, entry } = output;
                return this.carryRequest(from, { to, timeoutMs, payload: entry }, {
                    request: token => ({ kind: MembershipInputKind.JoinRequested, token, entry }),
                    reply: reply => reply.kind === MembershipOutputKind.ReplyJoin
                        ? { kind: MembershipInputKind.JoinReplied, call, reply: reply.reply }
                        : undefined,
                    failure: { kind: MembershipInputKind.JoinFailed, call },
                });
            }
            case MembershipOutputKind.PullZone: {
                const { call, to, timeoutMs, zone } = output;
                return this.carryRequest(from, { to, timeoutMs, payload: zone }, {
                    request: token => ({ kind: MembershipInputKind.ZoneRequested, token, zone }),
                    reply: reply => reply.kind === MembershipOutputKind.ReplyZone
                        ? { kind: MembershipInputKind.ZoneReplied, call, table: reply.table }
                        : undefined,
                    failure: { kind: MembershipInputKind.ZoneFailed, call },
                });
            }
            default:
        }
    }

    /** Carries a fetch of the configuration. */
    carryFetch(
        from: DecisionNode,
        output: Extract<DisseminationOutput, { kind: DisseminationOutputKind.Fetch }>,
        settle: (reply: FetchReply | undefined, peer: Peer) => void,
    ): void {
        this.configurationCalls++;
        this.carry({
            from,
            to: output.from.controlAddress,
            timeoutMs: output.timeoutMs,
            payload: output.baseVersion,
            run: (target, reply) => target.answerFetch(output.baseVersion, reply),
            settle: reply => settle(reply as FetchReply | undefined, output.from),
        });
    }

    /** Carries an eager push to each receiver. */
    carryPush(
        from: DecisionNode,
        output: Extract<DisseminationOutput, { kind: DisseminationOutputKind.Announce }>,
    ): void {
        const { head, delta } = output;
        const sender = { node: from.node, controlAddress: from.address };
        for (const peer of output.to) {
            this.configurationCalls++;
            this.carry({
                from,
                to: peer.controlAddress,
                timeoutMs: pushTimeoutMs,
                payload: { from: sender, head, delta },
                run: (target, reply) => {
                    target.tellDissemination(delta === undefined
                        ? {
                                kind: DisseminationInputKind.HeadReceived,
                                from: sender,
                                head,
                                rememberedVersion: 0,
                                inReply: false,
                            }
                        : { kind: DisseminationInputKind.DeltaReceived, from: sender, delta });
                    reply("");
                },
                settle: () => undefined,
            });
        }
    }

    private carryRequest(
        from: DecisionNode,
        call: Pick<Call, "to" | "timeoutMs" | "payload">,
        messages: {
            readonly request: (token: number) => MembershipInput;
            readonly reply: (reply: MembershipOutput) => MembershipInput | undefined;
            readonly failure: MembershipInput;
        },
    ): void {
        this.carry({
            ...call,
            from,
            run: (target, reply) => target.answer(messages.request, reply),
            settle: reply => {
                const input = reply === undefined ? undefined : messages.reply(reply as MembershipOutput);
                from.tell(input ?? messages.failure);
            },
        });
    }

    private carry(call: Call): void {
        const { from, to, timeoutMs } = call;
        let settled = false;
        const settle = (reply: unknown): void => {
            if (!settled) {
                settled = true;
                call.settle(reply);
            }
        };
        const requestBytes = countBytes(call.payload);
        addTraffic(from, requestBytes, 1);
        const target = this.nodes.get(to);
        if (target === undefined) {
            return this.schedule.after(delayMs, () => settle(undefined));
        }
        this.schedule.after(timeoutMs, () => settle(undefined));
        if (this.partition(from.place, target.place)) {
            return;
        }
        this.schedule.after(delayMs, () => {
            if (!target.isRunning) {
                return;
            }
            addTraffic(target, requestBytes, 1);
            call.run(target, reply => {
                const replyBytes = countBytes(readPayload(reply)) + responseEnvelopeBytes;
                addTraffic(target, replyBytes, 0);
                this.schedule.after(delayMs, () => {
                    addTraffic(from, replyBytes, 0);
                    settle(reply);
                });
            });
        });
    }
}

function addTraffic({ traffic }: DecisionNode, bytes: number, callEnds: number): void {
    traffic.bytes += bytes;
    traffic.callEnds += callEnds;
}

/** The part of a reply that travels. */
function readPayload(reply: unknown): unknown {
    const { exchange, table, reply: join } = reply as { exchange?: unknown; table?: unknown; reply?: unknown };
    return exchange ?? table ?? join ?? reply;
}

function countBytes(payload: unknown): number {
    return Buffer.byteLength(JSON.stringify(payload));
}
