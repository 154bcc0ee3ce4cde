/**
 * Relays store content between nodes to reduce the load on the store: a few nodes of each zone read it, and the others
 * follow them.
 *
 * The task follows the nodes that the source selection returns and fetches newer content from them. It sends its state
 * to its followers after each change and at least every half second.
 */
import { parseObjectChanges, type RelayNode, type SourceSelection, stateIntervalMs } from "@bilberrycroft/coordination.relay";
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import type { EventLog, FaultBarrier } from "@bilberrycroft/core.eventLog";
import {
    type ContentRequest,
    encodeContent,
    type PeerState,
    type ReceivedContent,
    RelayedContent,
    type StateVersions,
} from "@bilberrycroft/protocol.forwarding";
import { type FollowedNode, type Follower, followNode } from "@bilberrycroft/transport.forwarding";
import type { CollectionTask } from "./collectionTask";
import type { ConfigurationTask } from "./configurationTask";

export interface RelayTaskOptions {
    readonly clock: Clock;
    readonly log: EventLog;
    readonly faults: FaultBarrier;
    readonly selection: SourceSelection;
    readonly configurationCollection: CollectionTask;
    readonly configurationTask: ConfigurationTask;
    readonly nodeCollection: CollectionTask;
    /** Returns the newest versions that this node has. */
    getLocalVersions(): StateVersions;
}

/** The role is evaluated once per state interval, and after each message that changes it. */
const tickIntervalMs: Milliseconds = stateIntervalMs;
/** A reader's watch usually delivers a change at about the time that a peer announces it, so the fetch waits. */
const localWatchDelayMs: Milliseconds = 200;
/** Time after which a fetch is repeated; long enough to send a full configuration over a slow link. */
const fetchTimeoutMs: Milliseconds = 1_000;

interface FollowedPeer {
    readonly node: RelayNode;
    readonly connection: FollowedNode;
    readonly fetchedAt: Map<RelayedContent, Milliseconds>;
    versions: StateVersions | undefined;
}

export class RelayTask {
    private readonly followers = new Set<Follower>();
    private readonly followedPeers = new Map<string, FollowedPeer>();
    private readonly encodedContent = new Map<string, Buffer>();
    private timer: NodeJS.Timeout | undefined;
    private lastStateSentAt: Milliseconds = 0;
    private lastStateSent = "";
    private isStopping = false;
    private lastRole = "";

    constructor(private readonly options: RelayTaskOptions) {}

    start(): void {
        const { faults } = this.options;
        this.timer = setInterval(() => faults.run("relay-timer", {}, () => this.tick()), tickIntervalMs);
    }

    stop(): void {
        clearInterval(this.timer);
        this.followedPeers.forEach(({ connection }) => connection.close());
        this.followedPeers.clear();
    }

    /** Notifies followers that this node is stopping, so that they select another source. */
    announceStop(): void {
        this.isStopping = true;
        this.notifyFollowers();
    }

    addFollower(follower: Follower): void {
        this.followers.add(follower);
        follower.sendState(this.createLocalState());
    }

    removeFollower(follower: Follower): void {
        this.followers.delete(follower);
    }

    setNodes(nodes: readonly RelayNode[]): void {
        this.options.selection.setNodes(nodes);
        this.updateRole();
    }

    /** Whether this node tells its followers that it reads the store. */
    get isAnnouncedReader(): boolean {
        const { configurationCollection, nodeCollection } = this.options;
        return configurationCollection.isCurrent && nodeCollection.isCurrent && !this.isStopping;
    }

    /** Must be called after each change of the configuration or the nodes. */
    handleVersionChange(): void {
        this.encodedContent.clear();
        this.notifyFollowers();
    }

    /** Returns the encoded content for a follower. */
    getContent({ content, after }: ContentRequest): Buffer {
        const key = `${content} ${after}`;
        const existing = this.encodedContent.get(key);
        if (existing !== undefined) {
            return existing;
        }
        const { configurationTask, configurationCollection, nodeCollection } = this.options;
        const value = content === RelayedContent.Configuration
            ? configurationTask.createRelayedConfiguration(after, configurationCollection.revision)
            : nodeCollection.changesSince(after);
        const encoded = encodeContent(content, value);
        this.encodedContent.set(key, encoded);
        return encoded;
    }

    private tick(): void {
        this.updateRole();
        const isDue = this.options.clock.now() - this.lastStateSentAt >= tickIntervalMs / 2;
        if (isDue || describeState(this.createLocalState()) !== this.lastStateSent) {
            this.notifyFollowers();
        }
        this.followedPeers.forEach(peer => this.fetchMissing(peer));
    }

    /** Applies the current decision of the source selection. */
    private updateRole(): void {
        const { selection, configurationCollection, nodeCollection, log } = this.options;
        const { readsStore, isSubstitute, isStaggered, follows } = selection.decide();
        configurationCollection.setReading(readsStore, { isSubstitute, isStaggered });
        nodeCollection.setReading(readsStore, { isSubstitute, isStaggered });
        const desired = new Map(follows.map(node => [node.node, node]));
        for (const [name, { node, connection }] of this.followedPeers) {
            if (desired.get(name)?.address !== node.address) {
                connection.close();
                this.followedPeers.delete(name);
            }
        }
        for (const node of follows) {
            if (!this.followedPeers.has(node.node)) {
                this.follow(node);
            }
        }
        const role = `${readsStore} ${follows.map(({ node }) => node).join(" ")}`;
        if (role !== this.lastRole) {
            this.lastRole = role;
            log.info("relay-role", { readsStore, follows: follows.map(({ node }) => node).join(" ") });
        }
    }

    private follow(node: RelayNode): void {
        const name = node.node;
        const connection = followNode(node.address, {
            onState: state => this.handlePeerState(name, state),
            onContent: content => this.handleContent(name, content),
            onFault: ({ kind }, error) => this.options.faults.record("frame", { peer: name, kind }, error),
            onLost: reason => {
                this.followedPeers.delete(name);
                this.options.selection.markLost(name);
                this.options.log.info("followed-node-lost", { peer: name, reason });
                this.updateRole();
            },
        });
        this.followedPeers.set(name, { node, connection, fetchedAt: new Map(), versions: undefined });
    }

    private handlePeerState(name: string, { state, readsStore }: PeerState): void {
        const peer = this.followedPeers.get(name);
        if (peer === undefined) {
            return;
        }
        peer.versions = state;
        this.options.configurationTask.recordPeerVersion(state.configurationVersion);
        const { selection, configurationCollection } = this.options;
        const wasSource = selection.isSource(name);
        selection.recordState(name, readsStore);
        if (wasSource !== selection.isSource(name)) {
            this.updateRole();
        }
        if (!this.isBehind(state)) {
            return;
        }
        if (configurationCollection.isCurrent || !selection.isSource(name)) {
            const { faults } = this.options;
            setTimeout(() => faults.run("fetch-timer", { peer: name }, () => this.fetchMissing(peer)), localWatchDelayMs);
        }
        else {
            this.fetchMissing(peer);
        }
    }

    private isBehind(versions: StateVersions): boolean {
        const local = this.options.getLocalVersions();
        return versions.configurationVersion > local.configurationVersion
            || versions.registryRevision > local.registryRevision;
    }

    private fetchMissing(peer: FollowedPeer): void {
        const local = this.options.getLocalVersions();
        const { versions } = peer;
        if (versions !== undefined && versions.configurationVersion > local.configurationVersion) {
            this.fetch(peer, RelayedContent.Configuration, local.configurationVersion);
        }
        if (versions !== undefined && versions.registryRevision > local.registryRevision) {
            this.fetch(peer, RelayedContent.Nodes, this.options.nodeCollection.revision);
        }
    }

    private fetch(peer: FollowedPeer, content: RelayedContent, after: number): void {
        const now = this.options.clock.now();
        // Two sources announce the same change; the second is used only if the first does not respond.
        const isFetching = [...this.followedPeers.values()].some(({ fetchedAt }) =>
            now - (fetchedAt.get(content) ?? Number.NEGATIVE_INFINITY) < fetchTimeoutMs);
        if (!isFetching) {
            peer.fetchedAt.set(content, now);
            peer.connection.fetch({ content, after });
        }
    }

    private handleContent(name: string, { content, value }: ReceivedContent): void {
        const previous = this.options.getLocalVersions();
        const { configurationTask, configurationCollection, nodeCollection, log } = this.options;
        if (content === RelayedContent.Configuration) {
            const revision = configurationTask.applyRelayedConfiguration(value, name);
            if (revision !== undefined) {
                configurationCollection.advanceTo(revision);
            }
        }
        else {
            const changes = parseObjectChanges(value);
            if (changes === undefined) {
                log.warn("content-malformed", { from: name, content });
                return;
            }
            nodeCollection.applyRemote(changes);
        }
        const peer = this.followedPeers.get(name);
        if (peer !== undefined && !hasSameVersions(previous, this.options.getLocalVersions())) {
            // The source may have changed again while the content was in flight.
            peer.fetchedAt.delete(content);
            this.fetchMissing(peer);
        }
    }

    private createLocalState(): PeerState {
        return { state: this.options.getLocalVersions(), readsStore: this.isAnnouncedReader };
    }

    private notifyFollowers(): void {
        const state = this.createLocalState();
        this.lastStateSentAt = this.options.clock.now();
        this.lastStateSent = describeState(state);
        this.followers.forEach(follower => follower.sendState(state));
    }
}

function hasSameVersions(left: StateVersions, right: StateVersions): boolean {
    return left.configurationVersion === right.configurationVersion && left.registryRevision === right.registryRevision;
}

function describeState({ state, readsStore }: PeerState): string {
    return `${state.configurationVersion} ${state.registryRevision} ${readsStore}`;
}
