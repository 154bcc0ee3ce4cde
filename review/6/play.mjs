/**
 * Servers of one service send bodies without end, in small chunks, until their callers close. The node of the clients
 * holds each chunk as an object of its own and runs out of memory; the calls that pass through it get no answer.
 */
import { Agent } from "node:http";
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { createConfiguration, createRoute, hasTrouble, runCase, sleep } from "../lib-2/mesh.mjs";

/** Chunks of one byte, 30,000 a second on each connection: 180 KB a second on the wire. */
const chunksAtOnce = 300;
const paceMs = 10;
const chunks = Buffer.from("1\r\nn\r\n".repeat(chunksAtOnce));
const exportsAtOnce = 6;
const bookers = 16;
const playMs = 40_000;
/** The platform starts a process again after a short delay. */
const restartMs = 500;
/** More kept connections that are closed without an answer break the rule. */
const allowedCuts = 3;
const settings = ["Limits.MemoryMb=250", "Limits.CpuShare=1", "Limits.Cores=1", "Limits.MaxFds=4100"];

function respondWithoutEnd({ response, run, request, server }) {
    if (!hasTrouble) {
        server.answer(response, run);
        return;
    }
    const { socket } = request;
    const head = Object.entries({ ...server.headers(run.id), "transfer-encoding": "chunked" })
        .map(([name, value]) => `${name}: ${value}\r\n`);
    socket.write(`HTTP/1.1 200 OK\r\n${head.join("")}\r\n`);
    const timer = setInterval(() => {
        if (socket.writableLength === 0) {
            socket.write(chunks);
            server.sentBytes = (server.sentBytes ?? 0) + chunks.length;
        }
    }, paceMs);
    socket.on("error", () => socket.destroy());
    socket.on("close", () => clearInterval(timer));
}

/** Starts the process again whenever it has ended by itself. */
async function keepRunning(host, endsAt, record) {
    host.ends = 0;
    while (performance.now() < endsAt) {
        const end = await Promise.race([host.ended, sleep(endsAt - performance.now())]);
        if (end === undefined) {
            return;
        }
        host.ends++;
        const fatal = /FATAL ERROR: .*/.exec(host.readLog().slice(-6_000))?.[0];
        record.add(`${host.name} ended by itself: ${JSON.stringify(end)} ${fatal}`);
        await sleep(restartMs);
        host.spawn();
        await host.waitUntilReady();
        await host.server.beat();
    }
}

/** Clients that ask for exports again and again. */
async function requestExports(host, endsAt, record) {
    for (let round = 1; performance.now() < endsAt; round++) {
        const answers = await Promise.all(Array.from({ length: exportsAtOnce }, (_, index) => host.send({
            id: `export-${round}-${index}`,
            path: `/export/${index}`,
            deadlineMs: 5_017,
        })));
        record.add(`exports of round ${round}: ${answers.map(({ status, cause }) => status === 0 ? cause : status).join(", ")}`);
        await sleep(1_000);
    }
}

/** A client that books again and again on one kept connection. */
async function book(host, client, endsAt, outcomes) {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    for (let count = 0; performance.now() < endsAt; count++) {
        const id = `booking-${client}-${count}`;
        const answer = await host.send({ id, path: `/book/${client}`, method: "POST", body: id, agent });
        outcomes.push({ id, ...answer });
        await sleep(20);
    }
    agent.destroy();
}

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ record, mesh }) => {
    await mesh.start({
        configuration: createConfiguration({
            routes: [
                createRoute("/export/", "idempotent", "exports", { timeoutS: 5.1, objectiveS: 1.254, attempts: 2 }),
                createRoute("/book/", "non_idempotent", "booking", { objectiveS: 1 }),
            ],
            services: ["exports", "booking", "forms"],
        }),
        hosts: [
            { service: "forms", settings },
            { service: "booking", slots: 32, workMs: 500, settings },
            { service: "exports", slots: 8, settings, respond: respondWithoutEnd },
            { service: "exports", slots: 8, settings, respond: respondWithoutEnd },
        ],
    });
    const [front, booking, ...faulty] = mesh.hosts;
    const outcomes = [];
    const endsAt = performance.now() + playMs;
    const timer = setInterval(() =>
        record.add(`resident MB of the nodes: ${mesh.hosts.map(host => host.residentMb.toFixed(0)).join(" ")}`), 1_000);
    const bookings = Array.from({ length: bookers }, (_, client) => book(front, client, endsAt, outcomes));
    await Promise.all([keepRunning(front, endsAt, record), requestExports(front, endsAt, record), ...bookings]);
    clearInterval(timer);
    const ran = new Set(booking.server.runs.map(({ id }) => id));
    const unanswered = outcomes.filter(({ status }) => status === 0);
    const cut = unanswered.filter(({ id, isOnKeptConnection }) => isOnKeptConnection && ran.has(id));
    const count = status => outcomes.filter(outcome => outcome.status === status).length;
    record.add(`bookings sent ${outcomes.length}: 200 ${count(200)}, 502 ${count(502)}, 503 ${count(503)}, 504 ${count(504)}, no answer ${count(0)}`);
    cut.forEach(({ id, cause }) => record.add(`${id} ran at ${booking.server.id}; its kept connection ended without an answer: ${cause}`));
    faulty.forEach(({ server }) => record.add(`${server.id} sent ${((server.sentBytes ?? 0) / 1e6).toFixed(1)} MB of chunks`));
    record.add(`the process of ${front.name} ended by itself ${front.ends} times`);
    record.add(`${cut.length} bookings were cut, ${allowedCuts} are allowed`);
    return cut.length <= allowedCuts;
});
