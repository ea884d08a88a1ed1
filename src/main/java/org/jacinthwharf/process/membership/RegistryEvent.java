package org.jacinthwharf.process.membership;

import org.jacinthwharf.id.BackendServerId;

/** A change of the registry that the slot owner acts on. Immutable. */
public sealed interface RegistryEvent {
    /** A new server was registered. */
    record Added(RegisteredServer server) implements RegistryEvent {}

    /** The server restarted: no earlier request runs, and the cold limit applies. */
    record Restarted(RegisteredServer server) implements RegistryEvent {}

    /** The cold limit applies again, without a restart. */
    record TurnedCold(RegisteredServer server) implements RegistryEvent {}

    /** The warm limit applies from now on. */
    record TurnedWarm(RegisteredServer server) implements RegistryEvent {}

    /** The server announced that it is leaving and gets no new work. */
    record Leaving(RegisteredServer server) implements RegistryEvent {}

    /** A new announcement; the number of running requests or a limit may have changed. */
    record Updated(RegisteredServer server) implements RegistryEvent {}

    /** The server gets no new work until it recovers. */
    record Suspected(RegisteredServer server, Cause cause) implements RegistryEvent {}

    /** The server is no longer suspect. */
    record Recovered(RegisteredServer server) implements RegistryEvent {}

    /** The server was removed because its announcements stopped. */
    record Removed(BackendServerId server) implements RegistryEvent {}

    /** The failure domain was taken out of service (no slot may be granted) or returned. */
    record DomainOut(boolean out) implements RegistryEvent {}

    /** Why a server is suspect. */
    enum Cause {
        SILENT,
        CONNECTION_FAILED
    }
}
