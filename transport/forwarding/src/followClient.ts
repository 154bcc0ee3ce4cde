/**
 * Follows the state of another node and fetches content from it. Uses a separate connection, because content can be
 * large and must not delay calls.
 */
import { connect } from "node:net";
import {
    type ContentRequest,
    decodeContent,
    encodeFrame,
    encodeMessage,
    type Frame,
    FrameKind,
    parsePeerState,
    type PeerState,
    type ReceivedContent,
} from "@bilberrycroft/protocol.forwarding";
import { splitAddress } from "@bilberrycroft/transport.calls";
import { FrameConnection, type FrameFaultHandler } from "./frameConnection";

/** Receives the messages of a followed node. */
export interface FollowObserver {
    onState(state: PeerState): void;
    onContent(content: ReceivedContent): void;
    onFault: FrameFaultHandler;
    /** The connection could not be established or broke. Not called after `close`. */
    onLost(reason: string): void;
}

export interface FollowedNode {
    /** Requests content; the observer receives the response. */
    fetch(request: ContentRequest): void;
    close(): void;
}

export function followNode(address: string, observer: FollowObserver): FollowedNode {
    let isOpen = true;
    const connection = new FrameConnection(connect({ ...splitAddress(address), noDelay: true }), {
        onFrame: frame => {
            if (isOpen && !dispatchFrame(frame, observer)) {
                connection.close();
            }
        },
        onFault: observer.onFault,
        onClosed: reason => {
            if (isOpen) {
                observer.onLost(reason);
            }
        },
    });
    connection.send(encodeFrame(FrameKind.Follow, 0));
    return {
        fetch: request => {
            connection.send(encodeMessage(FrameKind.Fetch, 0, request));
        },
        close: () => {
            isOpen = false;
            connection.close();
        },
    };
}

/** Passes the message to the observer; returns `false` if it is malformed or unexpected. */
function dispatchFrame({ kind, payload }: Frame, observer: FollowObserver): boolean {
    if (kind === FrameKind.State) {
        const state = parsePeerState(payload);
        if (state !== undefined) {
            observer.onState(state);
        }
        return state !== undefined;
    }
    const content = kind === FrameKind.Content ? decodeContent(payload) : undefined;
    if (content !== undefined) {
        observer.onContent(content);
    }
    return content !== undefined;
}
