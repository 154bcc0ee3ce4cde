/**
 * Stand-in for a client: sends one attempt and resolves to what it saw.
 */
import { randomBytes } from "node:crypto";
import { request as sendRequest } from "node:http";

export function createId() {
    return randomBytes(8).toString("hex");
}

/** Resolves to `{ id, status, headers, body }`; the status is 0 if there was no complete answer. */
export function send({ ip, port, host, path, method = "GET", headers = {}, body, deadlineMs = 1_000, id = createId(), agent = false, leaveAfterMs, record }) {
    record?.("sent", { id, at: ip, method, path });
    return new Promise(resolve => {
        const finish = (status, received = {}, text = "") => {
            record?.("answered", { id, status, target: received["x-instance-id"] });
            resolve({ id, status, headers: received, body: text });
        };
        const outgoing = sendRequest({
            host: ip,
            port,
            method,
            path,
            agent,
            headers: {
                host,
                "x-attempt-id": id,
                "x-deadline-ms": String(deadlineMs),
                ...body === undefined ? {} : { "content-length": String(Buffer.byteLength(body)) },
                ...headers,
            },
        });
        const timers = [setTimeout(() => outgoing.destroy(), deadlineMs + 500)];
        if (leaveAfterMs !== undefined) {
            timers.push(setTimeout(() => outgoing.destroy(), leaveAfterMs));
        }
        outgoing.on("response", response => {
            const chunks = [];
            response.on("data", chunk => chunks.push(chunk));
            response.on("error", () => finish(0));
            response.on("end", () => finish(response.complete ? response.statusCode : 0, response.headers, Buffer.concat(chunks).toString("utf8")));
        });
        outgoing.on("error", () => finish(0));
        outgoing.on("close", () => timers.forEach(timer => clearTimeout(timer)));
        outgoing.end(body);
    });
}
