package org.jacinthwharf.process.membership;

import org.jacinthwharf.id.BackendServerId;

/** A change of the registry that the slot owner acts on. Immutable. */
public sealed interface RegistryEvent {
    /** A server that was not known. */
    record Added(RegisteredServer server) implements RegistryEvent {}

    /** A new incarnation: nothing from before runs, and the cold limit applies. */
    record Restarted(RegisteredServer server) implements RegistryEvent {}

    /** The server fell back to its cold limit without a restart. */
    record TurnedCold(RegisteredServer server) implements RegistryEvent {}

    /** The warm limit applies from now on. */
    record TurnedWarm(RegisteredServer server) implements RegistryEvent {}

    /** The server announced that it leaves and gets no new work. */
    record Leaving(RegisteredServer server) implements RegistryEvent {}

    /** A new announcement; the number of running requests or a limit may have changed. */
    record Updated(RegisteredServer server) implements RegistryEvent {}

    /** The server gets no new work until it recovers. */
    record Suspected(RegisteredServer server, Cause cause) implements RegistryEvent {}

    /** The server is no longer suspect. */
    record Recovered(RegisteredServer server) implements RegistryEvent {}

    /** The server was silent for too long and is forgotten. */
    record Removed(BackendServerId server) implements RegistryEvent {}

    /** The failure domain is out (nothing may be granted) or back. */
    record DomainOut(boolean out) implements RegistryEvent {}

    /** Why a server is suspect. */
    enum Cause {
        SILENT,
        CONNECTION_FAILED
    }
}
