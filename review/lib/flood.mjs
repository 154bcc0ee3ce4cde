/**
 * An endpoint in trouble, as processes of its own: the body of each answer has no end. It writes as fast as the caller
 * reads, until the caller closes the connection. Its last argument names the heads: it either accepts or rejects all
 * requests.
 */
import cluster from "node:cluster";
import { createServer } from "node:http";

const [ip, port, workers, manner] = process.argv.slice(2);
const heads = {
    accepts: id => `HTTP/1.1 200 OK\r\nx-attempt-id: ${id}\r\nx-response-signature: signed\r\n`,
    rejects: id => `HTTP/1.1 503 Service Unavailable\r\nx-attempt-id: ${id}\r\nx-not-executed: 1\r\n`,
};
const noise = Buffer.from(`100000\r\n${"n".repeat(0x100000)}\r\n`);

function flood() {
    let open = 0;
    let sent = 0;
    const server = createServer((request, response) => {
        const { socket } = response;
        request.resume();
        open++;
        socket.on("close", () => open--);
        socket.on("error", () => socket.destroy());
        const id = String(request.headers["x-attempt-id"]);
        socket.write(`${heads[manner](id)}transfer-encoding: chunked\r\n\r\n`);
        const writeMore = () => {
            if (!socket.destroyed) {
                sent += noise.length;
                socket.write(noise, () => setImmediate(writeMore));
            }
        };
        writeMore();
    });
    server.listen(Number(port), ip, () => process.send("listening"));
    setInterval(() => process.send({ open, sent }), 200);
    process.on("disconnect", () => process.exit());
}

if (cluster.isPrimary) {
    const states = new Map();
    for (let index = 0; index < Number(workers); index++) {
        const worker = cluster.fork();
        worker.on("message", message => {
            states.set(worker.id, message === "listening" ? { open: 0, sent: 0 } : message);
            if (states.size === Number(workers)) {
                const all = [...states.values()];
                const sum = name => all.reduce((total, state) => total + state[name], 0);
                process.send({ open: sum("open"), sent: sum("sent") });
            }
        });
    }
    process.on("disconnect", () => process.exit());
}
else {
    flood();
}
