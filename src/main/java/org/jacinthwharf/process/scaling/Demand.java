package org.jacinthwharf.process.scaling;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;

/**
 * What callers ask of all services at one moment.
 *
 * <p>Immutable.
 *
 * @param seenDomains failure domains whose gateways are heard from well enough to decide for them
 * @param services demand by service and failure domain of the gateways that were heard recently
 */
public record Demand(
        ImmutableSet<String> seenDomains,
        ImmutableMap<String, ImmutableMap<String, DomainDemand>> services) {
    /**
     * What callers ask of one service at the gateways of one failure domain.
     *
     * @param asked requests a second, including those that were refused
     * @param begun requests a second that servers began
     * @param refused requests a second that ended without being begun
     * @param waiting requests in the queues of gateways
     * @param running requests at servers
     */
    public record DomainDemand(
            double asked, double begun, double refused, long waiting, long running) {
        static final DomainDemand NONE = new DomainDemand(0, 0, 0, 0, 0);

        DomainDemand plus(DomainDemand other) {
            return new DomainDemand(
                    asked + other.asked,
                    begun + other.begun,
                    refused + other.refused,
                    waiting + other.waiting,
                    running + other.running);
        }
    }

    ImmutableMap<String, DomainDemand> ofService(String service) {
        return services.getOrDefault(service, ImmutableMap.of());
    }
}
