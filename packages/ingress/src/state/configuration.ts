import type { IngressConfiguration, IngressCustomer, IngressService } from "@filbertrelay/configuration";
import type { EventLog } from "@filbertrelay/kernel";
import { createRouteTable } from "@filbertrelay/policy/ingress";
import type { RouteTable } from "@filbertrelay/policy/ingress";
import type { StoreDecoder } from "../contract.js";
import type { IngressMetrics } from "../telemetry/metrics.js";
import { stateEvents as events } from "./event.js";
import type { ChangeOrigin } from "./itemview.js";
import type { StoreMirror } from "./mirror.js";

/** The current configuration with its lookup tables. */
export interface ActiveConfiguration {
    readonly configuration: IngressConfiguration;
    readonly routes: RouteTable;
    readonly services: ReadonlyMap<string, IngressService>;
    /** Absent when callers need no key. */
    readonly customersByKey: ReadonlyMap<string, IngressCustomer> | undefined;
}

/** Holds the configuration with the highest version that this process has seen. */
export class ConfigurationState {
    readonly #log: EventLog;
    readonly #metrics: IngressMetrics;
    readonly #listeners: ((active: ActiveConfiguration) => void)[] = [];
    #active: ActiveConfiguration | undefined;

    constructor(
        options: {
            readonly mirror: StoreMirror;
            readonly decoder: StoreDecoder;
            readonly log: EventLog;
            readonly metrics: IngressMetrics;
        },
    ) {
        this.#log = options.log;
        this.#metrics = options.metrics;
        options.mirror.listen(options.decoder.configurationPrefix, (change, origin) => {
            if (change.value === undefined) {
                return "material";
            }
            const decoded = options.decoder.readConfiguration(change.value);
            if (decoded.ok) {
                this.#apply(decoded.value, change.revision, origin);
            }
            else {
                this.#log.write(events.entrySkipped, {
                    key: change.key,
                    code: decoded.issue.code,
                    message: decoded.issue.message,
                });
            }
            return "material";
        });
    }

    /** The current configuration; `undefined` before the first one is applied. */
    current(): ActiveConfiguration | undefined {
        return this.#active;
    }

    /** Path at which the endpoints of a service answer status requests; `undefined` if they don't. */
    statusPath(service: string): string | undefined {
        return this.#active?.services.get(service)?.statusPath;
    }

    /** Registers a listener for each newly applied configuration. */
    listen(listener: (active: ActiveConfiguration) => void): void {
        this.#listeners.push(listener);
    }

    #apply(configuration: IngressConfiguration, revision: number, origin: ChangeOrigin): void {
        const formerVersion = this.#active?.configuration.version;
        if (formerVersion !== undefined && configuration.version <= formerVersion) {
            return;
        }
        const { routes, services, customers } = configuration;
        this.#active = {
            configuration,
            routes: createRouteTable(routes),
            services: new Map(services.map(service => [service.name, service])),
            customersByKey: customers === undefined ?
                undefined :
                new Map(customers.flatMap(customer => customer.keys.map(key => [key, customer] as const))),
        };
        this.#metrics.setConfigurationVersion(configuration.version);
        this.#log.write(events.configurationApplied, {
            version: configuration.version,
            formerVersion,
            revision,
            routes: routes.length,
            customers: customers?.length,
            ...origin,
        });
        this.#listeners.forEach(listener => listener(this.#active as ActiveConfiguration));
    }
}
