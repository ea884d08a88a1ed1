package org.jacinthwharf.request.dispatch;

import com.google.common.base.Ascii;
import com.google.common.base.CharMatcher;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jacinthwharf.wire.generated.KeyHolder;
import org.jacinthwharf.wire.generated.Route;
import org.jacinthwharf.wire.generated.RouteKind;
import org.jacinthwharf.wire.generated.RoutingTable;
import org.jacinthwharf.wire.generated.Service;
import org.jacinthwharf.wire.generated.ServiceShare;

/**
 * Validates routing tables before they come into force.
 *
 * <p>Stateless and thread-safe. Invariant: what a valid table names can be used by all parts of the
 * system; no type behind this check refuses it.
 */
public final class RoutingTableCheck {
    /** Names of services and versions may be as long as an operator likes; this bounds memory. */
    public static final int MAX_NAME_LENGTH = 16 << 10;

    private static final CharMatcher PADDING = CharMatcher.anyOf(" \t");

    private RoutingTableCheck() {}

    /** Returns whether servers can be announced for a service of this name. */
    public static boolean isServiceName(String name) {
        return !name.isEmpty() && name.length() <= MAX_NAME_LENGTH;
    }

    /**
     * Returns whether a header can carry the text unchanged. Receivers remove spaces around a
     * value, so a name with one at an end would be read as another name.
     */
    private static boolean isHeaderValue(String text) {
        return CharMatcher.javaIsoControl().matchesNoneOf(text)
                && PADDING.trimFrom(text).equals(text);
    }

    /**
     * Returns the first problem of a table as a message with the invalid value, if there is any.
     */
    public static Optional<String> problem(RoutingTable table) {
        Set<String> services = new HashSet<>();
        for (Service s : table.getServicesList()) {
            if (!isServiceName(s.getName())) {
                return problem(
                        "the name of a service has %d characters, 1 to %d allowed",
                        s.getName().length(), MAX_NAME_LENGTH);
            }
            if (!services.add(s.getName())) {
                return problem("service '%s' is listed twice", s.getName());
            }
        }
        Map<String, String> routesByPrefix = new HashMap<>();
        for (Route r : table.getRoutesList()) {
            Optional<String> problem = problem(r, services);
            String other =
                    routesByPrefix.put(Ascii.toLowerCase(r.getHost()) + r.getPrefix(), r.getName());
            if (problem.isPresent()) {
                return problem;
            }
            if (other != null) {
                return problem("routes '%s' and '%s' share a place", other, r.getName());
            }
        }
        Map<String, String> customersByKey = new HashMap<>();
        for (KeyHolder holder : table.getKeyHoldersList()) {
            if (!isHeaderValue(holder.getCustomer())) {
                return problem("customer '%s' cannot be sent in a header", holder.getCustomer());
            }
            for (String key : holder.getKeysList()) {
                String other = customersByKey.put(key, holder.getCustomer());
                if (other != null && !other.equals(holder.getCustomer())) {
                    return problem(
                            "customers '%s' and '%s' share an access key",
                            other, holder.getCustomer());
                }
            }
        }
        return Optional.empty();
    }

    private static Optional<String> problem(Route r, Set<String> services) {
        if (r.getHost().isEmpty() || !r.getPrefix().startsWith("/")) {
            return problem("route '%s' has no host or no prefix", r.getName());
        }
        if (!r.getPrefix().endsWith("/")) {
            return problem("the prefix of route '%s' does not end with a slash", r.getName());
        }
        if (r.getKind() == RouteKind.ROUTE_KIND_UNSPECIFIED
                || r.getKind() == RouteKind.UNRECOGNIZED) {
            return problem("route '%s' has no known kind", r.getName());
        }
        if (r.getTimeoutMillis() <= 0) {
            return problem("route '%s' has a timeout of 0", r.getName());
        }
        long weights = 0;
        for (ServiceShare share : r.getSharesList()) {
            if (!services.contains(share.getService())) {
                return problem(
                        "route '%s' names the unknown service '%s'",
                        r.getName(), share.getService());
            }
            weights += share.getWeight();
        }
        return weights > 0
                ? Optional.empty()
                : problem("the weights of route '%s' add up to 0", r.getName());
    }

    private static Optional<String> problem(String format, Object... arguments) {
        return Optional.of(String.format(format, arguments));
    }
}
