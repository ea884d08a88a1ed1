package org.jacinthwharf.process.control;

import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.jacinthwharf.wire.generated.Configuration;
import org.jacinthwharf.wire.generated.ConfigurationDelta;
import org.jacinthwharf.wire.generated.Customer;
import org.jacinthwharf.wire.generated.FailureDomain;
import org.jacinthwharf.wire.generated.Model;
import org.jacinthwharf.wire.generated.RoutingTable;

/**
 * A mutable configuration that is updated by deltas, on control members and on routers.
 *
 * <p>Not thread-safe. Invariant: equal contents give equal {@link #toMessage} results, since
 * entries are sorted by id.
 */
final class ConfigurationState {
    private final TreeMap<String, Customer> mCustomers = new TreeMap<>();
    private final TreeMap<String, FailureDomain> mFailureDomains = new TreeMap<>();
    private final TreeMap<String, Model> mModels = new TreeMap<>();
    private Optional<RoutingTable> mRouting = Optional.empty();
    private long mRevision;

    long revision() {
        return mRevision;
    }

    Customer customer(String id) {
        return mCustomers.get(id);
    }

    Optional<RoutingTable> routing() {
        return mRouting;
    }

    FailureDomain failureDomain(String id) {
        return mFailureDomains.get(id);
    }

    /** Returns the failure domains that are out of service. */
    Set<String> closedDomains() {
        return mFailureDomains.values().stream()
                .filter(FailureDomain::getOut)
                .map(FailureDomain::getId)
                .collect(Collectors.toSet());
    }

    Model model(String id) {
        return mModels.get(id);
    }

    /** Applies a delta and sets the revision to {@code revision}. */
    void apply(ConfigurationDelta delta, long revision) {
        delta.getCustomersList().forEach(c -> mCustomers.put(c.getId(), c));
        delta.getRemovedCustomersList().forEach(mCustomers::remove);
        delta.getFailureDomainsList().forEach(f -> mFailureDomains.put(f.getId(), f));
        delta.getModelsList().forEach(m -> mModels.put(m.getId(), m));
        delta.getRemovedModelsList().forEach(mModels::remove);
        if (delta.hasRouting()) {
            mRouting = Optional.of(delta.getRouting());
        }
        mRevision = revision;
    }

    /** Replaces all entries and the revision. */
    void replace(Configuration configuration) {
        mCustomers.clear();
        mFailureDomains.clear();
        mModels.clear();
        configuration.getCustomersList().forEach(c -> mCustomers.put(c.getId(), c));
        configuration.getFailureDomainsList().forEach(f -> mFailureDomains.put(f.getId(), f));
        configuration.getModelsList().forEach(m -> mModels.put(m.getId(), m));
        mRouting =
                configuration.hasRouting()
                        ? Optional.of(configuration.getRouting())
                        : Optional.empty();
        mRevision = configuration.getRevision();
    }

    /** Returns the configuration as a message; copies all entries. */
    Configuration toMessage() {
        Configuration.Builder configuration =
                Configuration.newBuilder()
                        .setRevision(mRevision)
                        .addAllCustomers(mCustomers.values())
                        .addAllFailureDomains(mFailureDomains.values())
                        .addAllModels(mModels.values());
        mRouting.ifPresent(configuration::setRouting);
        return configuration.build();
    }
}
