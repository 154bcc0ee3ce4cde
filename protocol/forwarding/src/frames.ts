/**
 * Framing of a connection between two nodes.
 *
 * Offers are multiplexed over one connection, so that withdrawing an offer costs a frame and not a connection. A frame
 * consists of its length without the length field (32 bits), its kind (8 bits), the offer id (32 bits) and the payload.
 */

export enum FrameKind {
    /** Caller's node: offers a call. Payload: the output of `encodeOffer`. */
    Offer = 1,
    /** Target's node: the offer is queued. */
    Queued = 2,
    /** Target's node: a slot is reserved; the call runs when its body arrives. */
    Granted = 3,
    /** Caller's node: the request body; also sent if it is empty. */
    Body = 4,
    /** Caller's node: the offer is withdrawn, or the call is cancelled. */
    Withdrawn = 5,
    /** Target's node: the call did not run. Payload: the output of `encodeRefusal`. */
    Refused = 6,
    /** Target's node: the call may have run, but there is no usable response. Payload: the output of `encodeLoss`. */
    Lost = 7,
    /** Target's node: the response head. Payload: the output of `encodeResponseHead`. */
    ResponseHead = 8,
    /** Target's node: a part of the response body. */
    ResponseData = 9,
    /** Target's node: the response is complete. */
    ResponseEnd = 10,
    /** Caller's node: requests a report without making a call. */
    ReportRequest = 11,
    /** Target's node: the reply to `ReportRequest`. Payload: the output of `encodeNodeReport`. */
    Report = 12,
    /** Subscribes to the state of the receiving node: the current one and each change. */
    Follow = 13,
    /** Sends the state of the sender to a follower. Payload: `PeerState`. */
    State = 14,
    /** Requests content from the followed node. Payload: `ContentRequest`. */
    Fetch = 15,
    /** The reply to `Fetch`. Payload: the output of `encodeContent`. */
    Content = 16,
    /** Requests tokens for calls of organisations with a quota. Payload: `AllowanceRequest`. */
    AllowanceRequest = 17,
    /** The reply to `AllowanceRequest`, with its id. Payload: `Allowance`. */
    Allowance = 18,
}

export interface Frame {
    readonly kind: FrameKind;
    /** Id of the offer, unique per connection; 0 for frames that do not belong to an offer. */
    readonly offerId: number;
    readonly payload: Buffer;
}

const lengthFieldBytes = 4;
const headerBytes = 9;
/** Request bodies are not split across frames. This limit fits the largest allowed body and the frame header. */
const maxFrameBytes = 128 * 1_024 * 1_024;
const emptyPayload = Buffer.alloc(0);

export function encodeFrame(kind: FrameKind, offerId: number, payload: Buffer = emptyPayload): Buffer {
    const frame = Buffer.allocUnsafe(headerBytes + payload.length);
    frame.writeUInt32BE(headerBytes - lengthFieldBytes + payload.length, 0);
    frame.writeUInt8(kind, lengthFieldBytes);
    frame.writeUInt32BE(offerId, lengthFieldBytes + 1);
    payload.copy(frame, headerBytes);
    return frame;
}

/** Encodes the start of a frame whose payload follows in parts of the given total size. */
export function encodeFrameStart(kind: FrameKind, offerId: number, payloadBytes: number): Buffer {
    const start = Buffer.allocUnsafe(headerBytes);
    start.writeUInt32BE(headerBytes - lengthFieldBytes + payloadBytes, 0);
    start.writeUInt8(kind, lengthFieldBytes);
    start.writeUInt32BE(offerId, lengthFieldBytes + 1);
    return start;
}

/** Encodes a frame with a JSON payload. */
export function encodeMessage(kind: FrameKind, offerId: number, message: unknown): Buffer {
    return encodeFrame(kind, offerId, Buffer.from(JSON.stringify(message), "utf8"));
}

/** An incomplete frame from this size on is copied into one buffer as it arrives, so that it is never held twice. */
const minLargeFrameBytes = 65_536;

/** Splits a byte stream into frames. */
export class FrameReader {
    private chunks: Buffer[] = [];
    private size = 0;
    /** An incomplete large frame and the number of its bytes that have arrived. */
    private large: { readonly frame: Buffer; filled: number } | undefined;

    /** Bytes held for frames that are not complete. */
    get heldBytes(): number {
        return this.size + (this.large?.frame.length ?? 0);
    }

    /** Adds received bytes and returns the frames completed by them; `undefined` if the stream is malformed. */
    push(received: Buffer): Frame[] | undefined {
        const frames: Frame[] = [];
        const chunk = this.fillLargeFrame(received, frames);
        if (chunk.length === 0) {
            return frames;
        }
        this.chunks.push(chunk);
        this.size += chunk.length;
        let length = this.peekFrameLength();
        while (length !== undefined && length >= headerBytes && length <= maxFrameBytes) {
            if (this.size < length) {
                this.startLargeFrame(length);
                return frames;
            }
            frames.push(this.readFrame(length));
            length = this.peekFrameLength();
        }
        return length === undefined ? frames : undefined;
    }

    private startLargeFrame(length: number): void {
        if (length >= minLargeFrameBytes) {
            const frame = Buffer.allocUnsafeSlow(length);
            let filled = 0;
            for (const chunk of this.chunks) {
                filled += chunk.copy(frame, filled);
            }
            this.large = { frame, filled };
            this.chunks = [];
            this.size = 0;
        }
    }

    /** Copies received bytes into the incomplete large frame, if there is one; returns the bytes after it. */
    private fillLargeFrame(received: Buffer, frames: Frame[]): Buffer {
        const { large } = this;
        if (large === undefined) {
            return received;
        }
        const copied = received.copy(large.frame, large.filled);
        large.filled += copied;
        if (large.filled === large.frame.length) {
            this.large = undefined;
            frames.push(decodeFrame(large.frame, large.frame.length));
        }
        return received.subarray(copied);
    }

    /** Length of the next frame including its length field; `undefined` until the length field has arrived. */
    private peekFrameLength(): number | undefined {
        if (this.size < lengthFieldBytes) {
            return undefined;
        }
        if ((this.chunks[0]?.length ?? 0) < lengthFieldBytes) {
            this.mergeChunks();
        }
        return lengthFieldBytes + (this.chunks[0] as Buffer).readUInt32BE(0);
    }

    private readFrame(length: number): Frame {
        if ((this.chunks[0]?.length ?? 0) < length) {
            this.mergeChunks();
        }
        const first = this.chunks[0] as Buffer;
        const rest = first.subarray(length);
        this.size -= length;
        if (rest.length > 0) {
            this.chunks[0] = rest;
        }
        else {
            this.chunks.shift();
        }
        return decodeFrame(first, length);
    }

    private mergeChunks(): void {
        this.chunks = [Buffer.concat(this.chunks)];
    }
}

function decodeFrame(buffer: Buffer, length: number): Frame {
    return {
        kind: buffer.readUInt8(lengthFieldBytes),
        offerId: buffer.readUInt32BE(lengthFieldBytes + 1),
        payload: buffer.subarray(headerBytes, length),
    };
}
