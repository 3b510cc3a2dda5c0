import type { Configuration } from "@filbertrelay/configuration";

/** A host of a fleet before it is started. */
export interface PlannedHost {
    readonly hostId: string;
    readonly role: "entry" | "engine" | "service";
    readonly failureDomain: string;
    readonly hostClass: string;
    readonly reclaimable: boolean;
    /** Thousandths of a cent per hour. */
    readonly pricePerHour: number;
    /** The model or plain service; absent on entry hosts. */
    readonly serves?: string;
}

/** How many hosts of each role a fleet has. */
export interface FleetSize {
    /** Entry hosts, spread evenly over the failure domains. */
    readonly entryHosts: number;
    /** Engines of each model, spread evenly over the failure domains. */
    readonly enginesPerModel: number;
    /** Instances of each plain service, spread evenly over the failure domains. */
    readonly instancesPerService: number;
}

/** Plans the hosts of a fleet; names and places depend on nothing but the arguments. */
export function planFleet(configuration: Configuration, size: FleetSize): readonly PlannedHost[] {
    const entries = planGroup(configuration, "entry", size.entryHosts, undefined);
    const engines = configuration.models.flatMap(model => planGroup(configuration, "engine", size.enginesPerModel, model.name));
    const services = configuration.services.flatMap(service =>
        planGroup(configuration, "service", size.instancesPerService, service.name)
    );
    return [...entries, ...engines, ...services];
}

function planGroup(
    configuration: Configuration,
    role: PlannedHost["role"],
    count: number,
    serves: string | undefined,
): PlannedHost[] {
    return Array.from({ length: count }, (...[, index]) => {
        const failureDomain = configuration.failureDomains[index % configuration.failureDomains.length] ?? "";
        return planHost(configuration, {
            hostId: `${serves ?? role}-${index + 1}`,
            role,
            failureDomain,
            ...(serves === undefined ? {} : { serves }),
        });
    });
}

/** Completes a host with the class of its role and its price; reclaimable where the class is offered so. */
export function planHost(
    configuration: Configuration,
    host: Pick<PlannedHost, "hostId" | "role" | "failureDomain" | "serves">,
): PlannedHost {
    const offered = configuration.hostClasses.filter(hostClass => hostClass.failureDomain === host.failureDomain);
    const hostClass = offered.find(candidate => candidate.name === host.role) ?? offered[0];
    const price = hostClass?.reclaimablePrice ?? hostClass?.onDemandPrice ?? 0;
    return {
        ...host,
        hostClass: hostClass?.name ?? host.role,
        reclaimable: hostClass?.reclaimablePrice !== undefined,
        pricePerHour: price,
    };
}
