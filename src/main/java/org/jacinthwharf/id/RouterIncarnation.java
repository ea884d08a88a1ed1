package org.jacinthwharf.id;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Identifies one run of the router process on a VM; each restart creates a new incarnation.
 *
 * <p>Immutable.
 *
 * @param vm the VM of the router
 * @param incarnation start time in milliseconds since the epoch, greater with each restart
 */
public record RouterIncarnation(VmId vm, long incarnation) {
    /**
     * Creates the id of one run.
     *
     * @throws IllegalArgumentException if {@code incarnation} is negative
     */
    public RouterIncarnation {
        checkArgument(incarnation >= 0, "negative incarnation: %s", incarnation);
    }

    /** Returns the incarnation of the router on {@code vm}. */
    public static RouterIncarnation of(VmId vm, long incarnation) {
        return new RouterIncarnation(vm, incarnation);
    }

    @Override
    public String toString() {
        return vm + "/" + incarnation;
    }
}
