/**
 * A proxy before the store, whose open connections can be made silent while new ones work.
 */
import { connect, createServer } from "node:net";

export class StoreProxy {
    #open = new Set();
    #silent = new Set();

    /** Listens on a free loopback port; resolves to its address. */
    async start(storeAddress) {
        const [host, port] = storeAddress.split(":");
        this.server = createServer(socket => {
            const store = connect(port, host);
            const pair = { socket, store, isSilent: false };
            this.#open.add(pair);
            const forward = (from, to) => {
                from.on("data", data => {
                    if (!pair.isSilent) {
                        to.write(data);
                    }
                });
                from.on("error", () => undefined);
                from.on("close", () => {
                    this.#open.delete(pair);
                    if (!pair.isSilent) {
                        to.destroy();
                    }
                });
            };
            forward(socket, store);
            forward(store, socket);
        });
        await new Promise(resolve => this.server.listen(0, "127.0.0.1", resolve));
        return `127.0.0.1:${this.server.address().port}`;
    }

    /** Forwards nothing more on the open connections, which stay open; returns their number. */
    silence() {
        const pairs = [...this.#open];
        pairs.forEach(pair => {
            pair.isSilent = true;
            this.#silent.add(pair);
        });
        return pairs.length;
    }

    stop() {
        this.server.close();
        [...this.#open, ...this.#silent].forEach(({ socket, store }) => {
            socket.destroy();
            store.destroy();
        });
    }
}
