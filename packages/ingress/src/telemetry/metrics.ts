import type { HostPressure } from "@filbertrelay/policy/ingress";
import type { TopicTraffic } from "@filbertrelay/wire";
import { Counter, Gauge, Histogram, Registry } from "prom-client";

/** Upper bounds of the latency histograms, in seconds. */
const latencyBounds = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2, 5, 15];

/** Prometheus metrics of one host, served on the metrics address; listed in docs/METRICS.md. */
export class IngressMetrics {
    readonly #registry = new Registry();
    readonly #requests = this.#counter("requests_total", "Requests by service and outcome", ["service", "outcome"]);
    readonly #latency = new Histogram({
        name: "filbertrelay_request_seconds",
        help: "Time from a request's arrival to its end, by service and outcome",
        labelNames: ["service", "outcome"],
        buckets: latencyBounds,
        registers: [this.#registry],
    });
    readonly #refusals = this.#counter("refusals_total", "Requests refused before they ran, by reason", ["reason"]);
    readonly #connections = this.#counter("endpoint_connections_total", "Connections opened to endpoints, by service", [
        "service",
    ]);
    readonly #relayed = this.#counter("relayed_requests_total", "Requests through another host, by side and result", [
        "side",
        "result",
    ]);
    readonly #internalErrors = this.#counter(
        "internal_errors_total",
        "Errors of this host that ended one unit of work, by scope",
        [
            "scope",
        ],
    );
    readonly #crashes = this.#counter("endpoint_crashes_total", "Crashes of endpoints with requests in progress, by service", [
        "service",
    ]);
    readonly #quarantined = this.#gauge("quarantined_causes", "Causes of crashes for which requests are rejected");
    readonly #starting = this.#gauge("starting_endpoints", "Endpoints in their slow start");
    readonly #brittle = this.#gauge("brittle_endpoints", "Endpoints that say that they are brittle");
    readonly #brittleFull = this.#counter(
        "brittle_rejections_total",
        "Rejections of brittle endpoints for want of room that cut their window, by service",
        ["service"],
    );
    readonly #storeCalls = this.#counter("store_calls_total", "Calls to the store, by kind and result", ["kind", "result"]);
    readonly #storeBytes = this.#counter("store_received_bytes_total", "Bytes of the store's responses, by kind and result", [
        "kind",
        "result",
    ]);
    readonly #changeAge = new Histogram({
        name: "filbertrelay_store_change_age_seconds",
        help: "Age of the copy of the store when changes reached it, an upper bound of their delay, by way",
        labelNames: ["way"],
        buckets: latencyBounds,
        registers: [this.#registry],
    });
    readonly #dutyCalls = this.#counter("duty_calls_total", "Calls of the host that holds the duties, by duty and result", [
        "duty",
        "result",
    ]);
    readonly #configuration = this.#gauge("configuration_version", "Version of the configuration in force");
    readonly #stranded = this.#gauge("host_stranded", "1 while the host has lost its links to all endpoints");
    readonly #hosts = this.#gauge("reachable_hosts", "Hosts with which use is exchanged, this one included");

    readonly #limits = this.#counter("caller_limits_total", "Limits for callers that took effect, by limit", ["limit"]);
    readonly #serving = this.#gauge("serving_hosts", "Hosts that callers are sent to, as this host knows them");

    readonly #pressureRefusals = this.#counter(
        "pressure_refusals_total",
        "Requests refused for the host's own sake, by reason and priority",
        ["reason", "priority"],
    );
    readonly #utilization = this.#gauge("host_utilization", "Part of the time in which the host had work, when last measured");
    readonly #readDelay = this.#gauge("read_delay_seconds", "Mean time that requests waited to be read, when last measured");

    readonly #announcements = this.#counter("announcements_total", "Rounds of reports outside of the regular interval");

    /** Publishes the messages and bytes between hosts by topic; `list` is called when the metrics are read. */
    observePeerTraffic(list: () => readonly TopicTraffic[]): void {
        const labelNames = ["topic", "direction"];
        const set = (
            metric: Gauge,
            choose: (traffic: TopicTraffic) => { readonly sent: number; readonly received: number; },
        ): void =>
            list().forEach(traffic => {
                const { sent, received } = choose(traffic);
                metric.set({ topic: traffic.topic, direction: "sent" }, sent);
                metric.set({ topic: traffic.topic, direction: "received" }, received);
            });
        this.#gauge(
            "peer_messages",
            "Messages between hosts since the start, by topic and direction",
            labelNames,
            metric => set(metric, ({ framesSent, framesReceived }) => ({ sent: framesSent, received: framesReceived })),
        );
        this.#gauge(
            "peer_bytes",
            "Bytes between hosts since the start, by topic and direction",
            labelNames,
            metric => set(metric, ({ bytesSent, bytesReceived }) => ({ sent: bytesSent, received: bytesReceived })),
        );
    }

    recordAnnouncement(): void {
        this.#announcements.inc();
    }

    /** Publishes the entries of the last report to another host, by part; `count` is called when the metrics are read. */
    observeReports(count: () => Readonly<Record<string, number>>): void {
        this.#gauge("report_entries", "Entries of the last report to another host, by part", ["part"], metric => {
            Object.entries(count()).forEach(([part, entries]) => metric.set({ part }, entries));
        });
    }

    recordRequest(service: string, outcome: string, elapsedMs: number): void {
        this.#requests.inc({ service, outcome });
        this.#latency.observe({ service, outcome }, elapsedMs / 1_000);
    }

    recordRefusal(reason: string): void {
        this.#refusals.inc({ reason });
    }

    /** Adds requests that were refused for the host's own sake. */
    recordPressureRefusals(reason: string, priority: number, count: number): void {
        this.#pressureRefusals.inc({ reason, priority }, count);
    }

    /** Sets the pressure that was measured last. */
    setPressure({ utilization, readDelayMs }: HostPressure): void {
        this.#utilization.set(utilization);
        this.#readDelay.set(readDelayMs / 1_000);
    }

    recordConnection(service: string): void {
        this.#connections.inc({ service });
    }

    /** Records the end of a request that went to an endpoint through another host, at either of the two. */
    recordRelayed(side: "calling" | "relaying", result: string): void {
        this.#relayed.inc({ side, result });
    }

    /** Whether the host has lost its links to all endpoints. */
    setStranded(isStranded: boolean): void {
        this.#stranded.set(Number(isStranded));
    }

    /** `scope` is what ended: a request, or the reading of an entry of the store. */
    recordInternalError(scope: "request" | "entry"): void {
        this.#internalErrors.inc({ scope });
    }

    recordCrash(service: string): void {
        this.#crashes.inc({ service });
    }

    setQuarantinedCauses(count: number): void {
        this.#quarantined.set(count);
    }

    setStartingEndpoints(count: number): void {
        this.#starting.set(count);
    }

    setBrittleEndpoints(count: number): void {
        this.#brittle.set(count);
    }

    recordBrittleRejection(service: string): void {
        this.#brittleFull.inc({ service });
    }

    recordStoreCall(kind: string, result: string, receivedBytes: number): void {
        this.#storeCalls.inc({ kind, result });
        this.#storeBytes.inc({ kind, result }, receivedBytes);
    }

    /** Records the age of the copy of the store, in milliseconds, when changes reached it by a way. */
    recordChangeAge(way: string, ageMs: number): void {
        this.#changeAge.observe({ way }, ageMs / 1_000);
    }

    recordDutyCall(duty: string, result: string): void {
        this.#dutyCalls.inc({ duty, result });
    }

    setConfigurationVersion(version: number): void {
        this.#configuration.set(version);
    }

    setReachableHosts(count: number): void {
        this.#hosts.set(count);
    }

    setServingHosts(count: number): void {
        this.#serving.set(count);
    }

    recordLimit(limit: string): void {
        this.#limits.inc({ limit });
    }

    /** Returns all metrics in the Prometheus text format. */
    render(): Promise<string> {
        return this.#registry.metrics();
    }

    #counter(name: string, help: string, labelNames: string[] = []): Counter {
        return new Counter({ name: `filbertrelay_${name}`, help, labelNames, registers: [this.#registry] });
    }

    /** `collect` sets the values when the metrics are read. */
    #gauge(name: string, help: string, labelNames: string[] = [], collect?: (metric: Gauge) => void): Gauge {
        const gauge: Gauge = new Gauge({
            name: `filbertrelay_${name}`,
            help,
            labelNames,
            registers: [this.#registry],
            ...(collect === undefined ? {} : { collect: () => collect(gauge) }),
        });
        return gauge;
    }
}
