package org.jacinthwharf.request.dispatch;

import com.google.common.base.Ascii;
import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.jacinthwharf.wire.generated.KeyHolder;
import org.jacinthwharf.wire.generated.Route;
import org.jacinthwharf.wire.generated.RoutingTable;
import org.jacinthwharf.wire.generated.Service;

/**
 * A routing table, indexed for lookups of routes, access keys and services.
 *
 * <p>Immutable and thread-safe. Finding a route costs one lookup for each slash of the path.
 */
public final class RouteTable {
    private final RoutingTable mTable;
    private final Map<String, Map<String, Route>> mRoutesByHost = new HashMap<>();
    private final Map<String, KeyHolder> mHoldersByKey = new HashMap<>();
    private final ImmutableMap<String, ServiceObjectives> mServices;

    private RouteTable(RoutingTable table) {
        mTable = table;
        for (Route r : table.getRoutesList()) {
            mRoutesByHost
                    .computeIfAbsent(Ascii.toLowerCase(r.getHost()), h -> new HashMap<>())
                    .put(r.getPrefix(), r);
        }
        for (KeyHolder holder : table.getKeyHoldersList()) {
            holder.getKeysList().forEach(k -> mHoldersByKey.put(k, holder));
        }
        Map<String, ServiceObjectives> services = new LinkedHashMap<>();
        for (Service s : table.getServicesList()) {
            services.put(
                    s.getName(),
                    new ServiceObjectives(
                            s,
                            shortestObjective(table, s.getName()),
                            table.getLimits().getTokensPerSecond()));
        }
        mServices = ImmutableMap.copyOf(services);
    }

    private static long shortestObjective(RoutingTable table, String service) {
        return table.getRoutesList().stream()
                .filter(
                        r ->
                                r.getSharesList().stream()
                                        .anyMatch(s -> s.getService().equals(service)))
                .mapToLong(Route::getObjectiveMillis)
                .filter(millis -> millis > 0)
                .min()
                .orElse(ServiceObjectives.NO_OBJECTIVE_MILLIS);
    }

    /** Returns the index of a table that {@link RoutingTableCheck} accepts. */
    public static RouteTable of(RoutingTable table) {
        return new RouteTable(table);
    }

    /** Returns the routing table that this index was built from. */
    public RoutingTable table() {
        return mTable;
    }

    /**
     * Returns the route of a request: of the host's routes, the one with the longest matching
     * prefix.
     *
     * @param host value of the {@code Host} header, with or without a port
     * @param path path of the request without its query
     */
    public Optional<Route> find(String host, String path) {
        int port = host.lastIndexOf(':');
        String name = Ascii.toLowerCase(port < 0 ? host : host.substring(0, port));
        Map<String, Route> prefixes = mRoutesByHost.get(name);
        if (prefixes == null) {
            return Optional.empty();
        }
        for (int end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
            Route route = prefixes.get(path.substring(0, end + 1));
            if (route != null) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /** Returns whether callers of the route must present an access key. */
    public boolean requiresAccessKey(Route route) {
        return mTable.getKeyHoldersCount() > 0 && !route.getAnonymous();
    }

    /** Returns the customer that holds an access key. */
    public Optional<KeyHolder> findKeyHolder(String key) {
        return Optional.ofNullable(mHoldersByKey.get(key));
    }

    /** Returns the services by name. */
    public ImmutableMap<String, ServiceObjectives> services() {
        return mServices;
    }
}
