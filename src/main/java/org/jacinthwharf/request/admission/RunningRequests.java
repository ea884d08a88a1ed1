package org.jacinthwharf.request.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.jacinthwharf.id.BackendServerId;
import org.jacinthwharf.wire.generated.ServerRunning;

/**
 * Holds the running requests of a router by backend server.
 *
 * <p>Invariant: one entry per slot from the start of its request to the end. Not thread-safe.
 */
final class RunningRequests<R> {
    /** A running request with its slot and charge. */
    record Running<R>(QueuedRequest<R> request, Slot slot, RequestCharge charge) {}

    private final Map<BackendServerId, Map<Long, Running<R>>> mServers = new TreeMap<>();
    private final Set<Slot> mRecalled = new HashSet<>();

    void add(Running<R> running) {
        mServers.computeIfAbsent(running.slot().server(), s -> new LinkedHashMap<>())
                .put(running.slot().number(), running);
    }

    Optional<Running<R>> get(Slot slot) {
        return Optional.ofNullable(
                mServers.getOrDefault(slot.server(), Map.of()).get(slot.number()));
    }

    boolean contains(BackendServerId server, long number) {
        return mServers.getOrDefault(server, Map.of()).containsKey(number);
    }

    /** Marks a request as recalled; returns false if it was already marked. */
    boolean markRecalled(Slot slot) {
        return mRecalled.add(slot);
    }

    void remove(Slot slot) {
        mRecalled.remove(slot);
        mServers.computeIfPresent(
                slot.server(),
                (server, slots) -> {
                    slots.remove(slot.number());
                    return slots.isEmpty() ? null : slots;
                });
    }

    int count(BackendServerId server) {
        return mServers.getOrDefault(server, Map.of()).size();
    }

    Collection<Running<R>> atServer(BackendServerId server) {
        return List.copyOf(mServers.getOrDefault(server, Map.of()).values());
    }

    Collection<BackendServerId> servers() {
        return List.copyOf(mServers.keySet());
    }

    /** Returns the report entries of a server, one for each of its incarnations. */
    List<ServerRunning> reportEntries(BackendServerId server) {
        Map<Long, ServerRunning.Builder> incarnations = new HashMap<>();
        for (Running<R> running : atServer(server)) {
            incarnations
                    .computeIfAbsent(
                            running.slot().serverIncarnation(),
                            i ->
                                    ServerRunning.newBuilder()
                                            .setServer(server.value())
                                            .setServerIncarnation(i))
                    .addSlots(running.slot().number());
        }
        List<ServerRunning> entries = new ArrayList<>();
        incarnations.values().forEach(entry -> entries.add(entry.build()));
        return entries;
    }
}
