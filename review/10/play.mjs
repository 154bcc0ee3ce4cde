/**
 * A request crashes the server that runs it, again and again. The server starts each time under the id that it had, and
 * its service has no other one. The nodes never recognize the request and pass it on each time it comes.
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { createConfiguration, createRoute, hasTrouble, runCase, sleep } from "../lib-2/mesh.mjs";

const contactMs = 3_000;
/** The server is back after this long. */
const downMs = 2_500;
/** The request comes again at this interval. */
const intervalMs = 5_000;
const playMs = 60_000;
/** More retries that reach a server break the rule. */
const allowedRetries = 3;
const bookersOfMachine = 2;

const isHarmful = path => path === "/book/harmful";

/** Runs a request; the harmful one ends the server's process, which starts again under the same id. */
function respondOrCrash({ response, run, server }) {
    if (!hasTrouble || !isHarmful(run.path)) {
        server.answer(response, run);
        return;
    }
    server.stop();
    server.crashes = [...server.crashes ?? [], performance.now()];
    setTimeout(async () => {
        Object.assign(server, { born: Date.now(), sequence: 0 });
        await server.start();
        await server.beat();
        server.startBeats();
    }, downMs);
}

/** A client that sends ordinary bookings. */
async function book(host, client, endsAt, outcomes) {
    for (let count = 0; performance.now() < endsAt; count++) {
        const id = `booking-${host.name}-${client}-${count}`;
        const { status } = await host.send({ id, path: `/book/${host.name}-${client}`, method: "POST", body: id });
        outcomes.push({ id, status });
        await sleep(100);
    }
}

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ record, mesh }) => {
    await mesh.start({
        configuration: createConfiguration({
            routes: [createRoute("/book/", "non_idempotent", "approvals")],
            services: ["approvals", "forms"],
        }),
        hosts: [
            { service: "forms" },
            { service: "forms" },
            { service: "forms" },
            { service: "approvals", slots: 6, workMs: 150, respond: respondOrCrash },
        ],
    });
    const [{ server }] = mesh.hosts.slice(-1);
    const fronts = mesh.hosts.slice(0, -1);
    const startsAt = performance.now();
    const endsAt = startsAt + playMs;
    const outcomes = [];
    const clients = fronts.flatMap(host =>
        Array.from({ length: bookersOfMachine }, (_, client) => book(host, client, endsAt, outcomes)));
    for (let count = 0; performance.now() < endsAt; count++) {
        const host = fronts[count % fronts.length];
        const { status } = await host.send({ id: `harmful-${count}`, path: "/book/harmful", method: "POST", body: "x" });
        const reached = server.runs.filter(({ path }) => isHarmful(path)).length;
        record.add(`the harmful request comes at ${host.name} and gets ${status}; it has reached ${server.id} ${reached} times`);
        await sleep(startsAt + (count + 1) * intervalMs - performance.now());
    }
    await Promise.all(clients);
    const { crashes = [], runs } = server;
    const boundFrom = crashes.length < 3 ? Number.POSITIVE_INFINITY : crashes[2] + contactMs;
    const late = runs.filter(({ path, at }) => isHarmful(path) && at > boundFrom);
    const ran = new Set(runs.map(({ id }) => id));
    const lost = outcomes.filter(({ id, status }) => ran.has(id) && status !== 200);
    record.add(`${server.id} crashed ${crashes.length} times; ${late.length} retries reached it later than ContactS after `
        + `the third crash, ${allowedRetries} are allowed`);
    record.add(`${lost.length} of ${outcomes.length} ordinary bookings had begun to run there and got no success`);
    return late.length <= allowedRetries;
});
