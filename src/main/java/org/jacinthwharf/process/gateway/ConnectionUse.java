package org.jacinthwharf.process.gateway;

/**
 * One request on a connection to a backend server, as logs name it.
 *
 * <p>Immutable.
 *
 * @param localPort port of the gateway's end of the connection
 * @param ordinal number of the request on the connection, from 1
 */
record ConnectionUse(int localPort, long ordinal) {
    /** Returns whether no earlier request can be answered on the connection. */
    boolean isFirst() {
        return ordinal == 1;
    }

    @Override
    public String toString() {
        return localPort + "/" + ordinal;
    }
}
