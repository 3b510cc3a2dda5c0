// An engine that spoils some of its answers for a while, as a faulty engine does on the bench.

/** Within what the site files give for `garble`: a share of 0.6 of the engines, 0.05 of the answers, 6.89 s. */
const defaultOneIn = 50;
const spanMs = 6_500;
/** The trouble may come more than once; the engine is sound in between. */
const periodMs = 13_000;

/** Has one answer in so many of an engine spoiled by `spoil(request, channel)` during the spans. */
export function spoilOneIn(deployment, engine, { oneIn = defaultOneIn, spoil }) {
    const startMs = Date.now();
    let answers = 0;
    engine.fault = (request, channel) => {
        if ((Date.now() - startMs) % periodMs > spanMs) {
            return false;
        }
        answers += 1;
        if (answers % oneIn !== 0) {
            return false;
        }
        deployment.note("spoiled answer", { id: request.headers["x-filbertrelay-attempt-id"], engine: engine.id });
        spoil(request, channel);
        return true;
    };
}
