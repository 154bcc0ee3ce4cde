/**
 * A server deregisters and serves on for some seconds. Its node, which has acknowledged this, is stopped with SIGTERM
 * and started again. Then a heartbeat arrives that the server sent before. The node takes the server for a ready one.
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { createConfiguration, createRoute, hasTrouble, runCase, sleep } from "../lib-2/mesh.mjs";

const drainMs = 2_000;
const contactMs = 3_000;
/** The server serves for this long after the acknowledgement and then exits. */
const servesForMs = 14_000;
const restartMs = 500;
/** Clients on each machine. */
const bookers = 3;

async function book(host, client, endsAt, outcomes) {
    for (let count = 0; performance.now() < endsAt; count++) {
        const id = `booking-${host.name}-${client}-${count}`;
        const sentAt = performance.now();
        const { status } = await host.send({ id, path: `/book/${client}`, method: "POST", body: id });
        outcomes.set(id, { sentAt, status });
        await sleep(50);
    }
}

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ record, mesh }) => {
    await mesh.start({
        configuration: createConfiguration({
            routes: [createRoute("/book/", "non_idempotent", "booking")],
            services: ["booking", "forms"],
        }),
        hosts: [
            { service: "forms" },
            { service: "booking", slots: 6, workMs: 300 },
            { service: "booking", slots: 6, workMs: 300 },
        ],
    });
    const [, host] = mesh.hosts;
    const { server: leaving } = host;
    const outcomes = new Map();
    const clients = mesh.hosts.flatMap(machine => Array.from({ length: bookers }, (_, client) =>
        book(machine, client, performance.now() + servesForMs + 4_000, outcomes)));
    await sleep(1_500);
    leaving.stopBeats();
    const delayed = leaving.createBeat();
    const delayedAt = performance.now();
    record.add(`${leaving.id} sends Deregister; its node answers ${await leaving.report("Deregister", { born: leaving.born })}`);
    const acknowledgedAt = performance.now();
    await sleep(300);
    let inTouchFrom = performance.now();
    if (hasTrouble) {
        host.child.kill("SIGTERM");
        record.add(`${host.name} gets SIGTERM and ends: ${JSON.stringify(await host.ended)}`);
        await sleep(restartMs);
        host.spawn();
        inTouchFrom = performance.now() + contactMs;
        await host.waitUntilReady();
        record.add(`${host.name} runs again`);
    }
    else {
        await sleep(3_000);
    }
    await sleep(500);
    const answered = await leaving.report("Heartbeat", delayed);
    record.add(`the heartbeat of before (Sequence ${delayed.Sequence}, State ready) arrives ${Math.round(performance.now() - delayedAt)} ms late; the node answers ${answered}`);
    await sleep(acknowledgedAt + servesForMs - performance.now());
    leaving.stop();
    record.add(`${leaving.id} exits ${servesForMs} ms after the acknowledgement`);
    await Promise.all(clients);
    const isLate = at => at > acknowledgedAt + drainMs && at > inTouchFrom;
    const late = leaving.runs.filter(({ id, at }) => isLate(at) && outcomes.get(id).sentAt > inTouchFrom);
    late.forEach(({ id, at }) => record.add(`${id} reached ${leaving.id} ${Math.round(at - acknowledgedAt)} ms after the acknowledgement; `
        + `the client sent it at ${Math.round(outcomes.get(id).sentAt - acknowledgedAt)} ms and got ${outcomes.get(id).status}`));
    const lost = late.filter(({ id }) => outcomes.get(id).status !== 200);
    record.add(`${late.length} bookings reached the leaving server later than DrainS after the acknowledgement, through machines in touch, `
        + `${lost.length} of them ran there and got no success; ${outcomes.size} were sent`);
    return late.length === 0;
});
