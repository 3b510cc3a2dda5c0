// Ordinary clients: sound requests at a steady rate, and what became of them at their route's time limit.
import { Channel, delay, renderRequest } from "./harness.mjs";

/** Bound of the rule CONFIG: an answer is due half a second after the route's time limit. */
const graceMs = 500;

/** Sends requests of one kind to a host at an interval until a time; resolves with what each of them got. */
export async function sendSteadily(deployment, host, { name, path, method, intervalMs, untilMs, timeoutMs, waitMs }) {
    const results = [];
    const pending = [];
    for (let number = 1; performance.now() < untilMs; number += 1) {
        pending.push(sendOne(deployment, host, { id: `${name}-${number}`, path, method, timeoutMs, waitMs }).then(result => results.push(result)));
        await delay(intervalMs);
    }
    await Promise.all(pending);
    return results;
}

async function sendOne(deployment, host, { id, path, method, timeoutMs, waitMs }) {
    const channel = new Channel(host.ip, host.callerPort);
    const sentMs = performance.now();
    channel.send(renderRequest({ id, path, method, body: method === "GET" ? "" : "lime", waitMs }));
    const answer = await Promise.race([channel.next(), delay(timeoutMs + graceMs)]);
    const elapsedMs = performance.now() - sentMs;
    // A channel that ends has no answer either, but the client knows at once.
    const isAnswered = answer !== undefined;
    deployment.note(`${id}: ${isAnswered ? answer.status : channel.isClosed ? "closed" : "no answer"} after ${Math.round(elapsedMs)} ms`);
    channel.destroy();
    return { id, sentAtMs: sentMs - deployment.startMs, elapsedMs, status: answer?.status, isOpen: !isAnswered && !channel.isClosed };
}

/** The rule: of the requests that are unanswered at the route's time limit, more than half have no answer half a second later. */
export function judge(deployment, results, timeoutMs) {
    const late = results.filter(({ elapsedMs, status }) => elapsedMs >= timeoutMs || status === undefined);
    const unanswered = results.filter(({ isOpen }) => isOpen);
    const served = results.filter(({ status }) => status === 200);
    deployment.note(`${results.length} requests: ${served.length} answered 200, ${late.length} unanswered at ${timeoutMs} ms, ${unanswered.length} of them still ${graceMs} ms later`);
    return unanswered.length * 2 > late.length;
}
