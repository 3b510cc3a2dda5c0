// Load of clients with kept channels on the plain routes of a deployment, and the check of what they got.
import { setTimeout as delay } from "node:timers/promises";
import { KeptChannel, nextId } from "./client.mjs";
import { hostname } from "./deployment.mjs";
import { expectedBody } from "./engine.mjs";

/** Channels of each path to each host. */
const defaultChannelsPerPath = 4;
const pauseMs = 60;
/** What the rule LOST still allows. */
const allowedLost = 3;

/** Sends requests for a time; resolves with all answers. */
export async function playKeptLoad(deployment, { playMs, channelsPerPath = defaultChannelsPerPath }) {
    const untilMs = Date.now() + playMs;
    const answers = [];
    const work = async (host, path, method) => {
        const channel = new KeptChannel(host.address);
        while (Date.now() < untilMs) {
            const id = nextId(path.slice(1, 5));
            answers.push(await channel.request({ id, method, path, host: hostname, body: method === "POST" ? `order ${id}` : "" }));
            await delay(pauseMs);
        }
        channel.close();
    };
    const kinds = [["/look/a", "GET"], ["/post/a", "POST"]];
    await Promise.all(deployment.hosts.flatMap(host =>
        kinds.flatMap(([path, method]) => Array.from({ length: channelsPerPath }, () => work(host, path, method)))
    ));
    return answers;
}

/** Writes the requests to the record and returns the violations of LOST, MIXED, TWICE and REFUSED. */
export function checkAnswers(deployment, answers, faultyEngines) {
    const faulty = new Set(faultyEngines.map(engine => engine.id));
    const ranAt = new Map();
    for (const engine of deployment.engines) {
        engine.runs.forEach(id => ranAt.set(id, [...ranAt.get(id) ?? [], engine.id]));
    }
    const violations = [];
    /** Lost requests by host. */
    const lost = new Map();
    for (const { body, headers, ...answer } of answers) {
        const engines = ranAt.get(answer.id) ?? [];
        const isCut = answer.status === 0 && answer.ending !== "time limit" && answer.ending !== "left";
        deployment.note("request", { ...answer, ranAt: engines });
        // Only requests that reached sound engines alone count.
        if (answer.isKept && isCut && engines.length > 0 && engines.every(engine => !faulty.has(engine))) {
            lost.set(answer.address, [...lost.get(answer.address) ?? [], answer.id]);
        }
        if (answer.status === 200 && answer.isComplete) {
            const isOwn = headers["x-filbertrelay-response-signature"] === `signed.${answer.id}` && body === expectedBody(answer.id);
            violations.push(...isOwn ? [] : [{ rule: "MIXED", id: answer.id }]);
        }
        if (answer.path.startsWith("/post/")) {
            violations.push(...engines.length > 1 ? [{ rule: "TWICE", id: answer.id, engines }] : []);
            const isRefused = [408, 421, 429, 503].includes(answer.status);
            violations.push(...isRefused && engines.length > 0 ? [{ rule: "REFUSED", id: answer.id, engines }] : []);
        }
    }
    for (const [host, ids] of lost) {
        if (ids.length > allowedLost) {
            const what = "requests from kept channels that sound engines had, and no answer before the channel was closed";
            violations.push({ rule: "LOST", what, host, count: ids.length, ids });
        }
    }
    return violations;
}
