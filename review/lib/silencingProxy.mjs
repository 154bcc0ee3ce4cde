/**
 * A TCP proxy whose open connections can go silent for good, without a reset, while new ones work.
 */
import { once } from "node:events";
import { connect, createServer } from "node:net";

export class SilencingProxy {
    constructor(targetAddress) {
        const [host, port] = targetAddress.split(":");
        this.target = { host, port: Number(port) };
        this.pairs = new Set();
    }

    /** Listens on a free port; resolves with the address. */
    async start() {
        this.server = createServer(socket => this.accept(socket));
        this.server.listen(0, "127.0.0.1");
        await once(this.server, "listening");
        return `127.0.0.1:${this.server.address().port}`;
    }

    /** Nothing arrives any more on the connections that are open now. Returns their number. */
    silence() {
        for (const pair of this.pairs) {
            pair.isSilent = true;
        }
        return this.pairs.size;
    }

    accept(incoming) {
        const outgoing = connect(this.target);
        const pair = { isSilent: false };
        this.pairs.add(pair);
        const end = () => {
            this.pairs.delete(pair);
            incoming.destroy();
            outgoing.destroy();
        };
        for (const [from, to] of [[incoming, outgoing], [outgoing, incoming]]) {
            from.on("data", data => pair.isSilent || to.write(data));
            from.on("end", () => pair.isSilent || to.end());
            from.on("error", () => pair.isSilent || end());
            from.on("close", () => pair.isSilent || end());
        }
    }
}
