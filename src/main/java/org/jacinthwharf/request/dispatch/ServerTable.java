package org.jacinthwharf.request.dispatch;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.jacinthwharf.connection.ServerAddress;
import org.jacinthwharf.wire.generated.ServerLoad;
import org.jacinthwharf.wire.generated.ServerRateLimit;
import org.jacinthwharf.wire.generated.ServerRecord;
import org.jacinthwharf.wire.generated.ServerStatus;
import org.jspecify.annotations.Nullable;

/**
 * The backend servers that a gateway knows, with the load and health that it records for each.
 *
 * <p>Not thread-safe. Invariant: a server is listed under the service that its newest record names.
 */
public final class ServerTable {
    private final Map<String, BackendServer> mServers = new HashMap<>();
    private final Map<String, List<BackendServer>> mByService = new HashMap<>();
    private final LoadFreshness mLoadFreshness = new LoadFreshness();
    private boolean mLoadLevelled;

    /** Servers that share their load about evenly. */
    private record Group(String service, String failureDomain, String version) {
        static Group of(BackendServer s) {
            return new Group(s.service(), s.failureDomain(), s.version());
        }
    }

    /**
     * Updates a server from its newest record; a new incarnation starts without history. A record
     * without the address of a server names none and is ignored.
     */
    public void update(ServerRecord record, long lastReceivedNanos, long coldUntilNanos) {
        ServerAddress.parse(record.getAddress())
                .ifPresent(a -> update(record, a, lastReceivedNanos, coldUntilNanos));
    }

    private void update(
            ServerRecord record,
            ServerAddress address,
            long lastReceivedNanos,
            long coldUntilNanos) {
        BackendServer server = mServers.get(record.getServer());
        boolean newIncarnation = server != null && server.bornMillis() != record.getBornMillis();
        if (server == null || newIncarnation) {
            remove(server);
            server = new BackendServer(record.getServer(), record.getBornMillis());
            mServers.put(record.getServer(), server);
            mByService.computeIfAbsent(record.getService(), s -> new ArrayList<>()).add(server);
        } else if (!server.service().equals(record.getService())) {
            removeFromService(server);
            mByService.computeIfAbsent(record.getService(), s -> new ArrayList<>()).add(server);
        }
        server.update(record, address, lastReceivedNanos, coldUntilNanos);
        if (record.getStatus() == ServerStatus.GONE && server.running() == 0) {
            remove(server);
        }
    }

    private void remove(@Nullable BackendServer server) {
        if (server != null && mServers.remove(server.id(), server)) {
            removeFromService(server);
        }
    }

    private void removeFromService(BackendServer server) {
        List<BackendServer> servers = mByService.get(server.service());
        servers.remove(server);
        if (servers.isEmpty()) {
            mByService.remove(server.service());
        }
    }

    /** Removes a server that the directory has no room for, unless it runs a request. */
    public void forget(String id) {
        find(id).filter(s -> s.running() == 0).ifPresent(this::remove);
    }

    /**
     * Removes servers that run no request of this gateway and are gone, or were last heard from
     * before the given time.
     */
    public void removeGone(long silentSinceNanos) {
        ImmutableList.copyOf(mServers.values()).stream()
                .filter(s -> s.running() == 0)
                .filter(
                        s ->
                                s.status() == ServerStatus.GONE
                                        || s.lastReceivedNanos() < silentSinceNanos)
                .forEach(this::remove);
    }

    /** Returns all servers of a service, including those that must not be sent requests. */
    public List<BackendServer> ofService(String service) {
        return mByService.getOrDefault(service, List.of());
    }

    /** Returns the names of the services that have servers. */
    Set<String> services() {
        return mByService.keySet();
    }

    /** Returns all servers. */
    public ImmutableList<BackendServer> all() {
        return ImmutableList.copyOf(mServers.values());
    }

    /** Returns a server by its id. */
    public Optional<BackendServer> find(String id) {
        return Optional.ofNullable(mServers.get(id));
    }

    /** Sets the load from all other gateways; servers that are not listed are reset to no load. */
    public void setOtherGatewaysLoad(Collection<ServerLoad> loads) {
        mLoadFreshness.onUpdate();
        mLoadLevelled = false;
        for (BackendServer s : mServers.values()) {
            s.setOtherGatewaysLoad(ServerLoad.getDefaultInstance());
            s.forgetRejections();
        }
        for (ServerLoad l : loads) {
            BackendServer server = mServers.get(l.getServer());
            if (server != null && server.bornMillis() == l.getBornMillis()) {
                server.setOtherGatewaysLoad(l);
            }
        }
    }

    LoadFreshness loadFreshness() {
        return mLoadFreshness;
    }

    /**
     * Returns the number of placements so far. Each is to be reported, also if it has ended, since
     * the answer to the report is awaited.
     */
    public long placements() {
        return mLoadFreshness.placements();
    }

    /**
     * Spreads the load from all other gateways over the servers in proportion to their slots, until
     * it is set again. If it is stale, differences between servers are those of requests that have
     * ended, and all gateways would send to the servers that had the least load.
     */
    void levelOtherGatewaysLoad() {
        if (mLoadLevelled) {
            return;
        }
        mLoadLevelled = true;
        mServers.values().stream()
                .filter(s -> s.status() == ServerStatus.SERVING)
                .collect(Collectors.groupingBy(Group::of))
                .values()
                .forEach(ServerTable::level);
    }

    private static void level(List<BackendServer> servers) {
        double slots = servers.stream().mapToInt(BackendServer::slots).sum();
        List<ServerLoad> loads = servers.stream().map(BackendServer::otherGatewaysLoad).toList();
        double running = loads.stream().mapToDouble(ServerLoad::getRunning).sum() / slots;
        double unread = loads.stream().mapToDouble(ServerLoad::getUnreadTokens).sum() / slots;
        double held = loads.stream().mapToDouble(ServerLoad::getHeldTokens).sum() / slots;
        servers.forEach(
                s ->
                        s.setOtherGatewaysLoad(
                                ServerLoad.newBuilder()
                                        .setRunning((int) (running * s.slots()))
                                        .setUnreadTokens((long) (unread * s.slots()))
                                        .setHeldTokens((long) (held * s.slots()))
                                        .build()));
    }

    /** Returns the load from this gateway, for servers that run any of its requests. */
    public ImmutableList<ServerLoad> localLoad() {
        return mServers.values().stream()
                .filter(s -> s.running() > 0)
                .map(BackendServer::ownLoad)
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns the rates that servers named to this gateway, if others need to know them. */
    public ImmutableList<ServerRateLimit> rateLimits(long nowNanos) {
        ImmutableList.Builder<ServerRateLimit> limits = ImmutableList.builder();
        for (BackendServer s : mServers.values()) {
            s.namedRate().toShare(nowNanos).ifPresent(r -> limits.add(message(s, r, nowNanos)));
        }
        return limits.build();
    }

    private static ServerRateLimit message(
            BackendServer server, NamedRate.Statement statement, long nowNanos) {
        ServerRateLimit.Builder message =
                ServerRateLimit.newBuilder()
                        .setServer(server.id())
                        .setBornMillis(server.bornMillis())
                        .setAgeMillis(TimeUnit.NANOSECONDS.toMillis(nowNanos - statement.nanos()));
        statement.rate().ifPresent(message::setRequestsPerSecond);
        return message.build();
    }

    /**
     * Applies the newest rates that servers named to any gateway.
     *
     * @return the servers whose rate changed
     */
    public ImmutableList<BackendServer> setFleetRateLimits(
            List<ServerRateLimit> limits, long nowNanos) {
        ImmutableList.Builder<BackendServer> changed = ImmutableList.builder();
        for (ServerRateLimit l : limits) {
            BackendServer server = mServers.get(l.getServer());
            OptionalDouble rate =
                    l.hasRequestsPerSecond()
                            ? OptionalDouble.of(l.getRequestsPerSecond())
                            : OptionalDouble.empty();
            long named = nowNanos - TimeUnit.MILLISECONDS.toNanos(l.getAgeMillis());
            if (server != null
                    && server.bornMillis() == l.getBornMillis()
                    && server.namedRate().onFleet(new NamedRate.Statement(rate, named), nowNanos)) {
                changed.add(server);
            }
        }
        return changed.build();
    }
}
