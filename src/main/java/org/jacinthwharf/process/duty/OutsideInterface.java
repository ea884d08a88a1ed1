package org.jacinthwharf.process.duty;

import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

/**
 * Makes outside calls; implemented by the adapter of a deployment.
 *
 * <p>Called on the event loop only; futures complete on it, never exceptionally.
 */
@FunctionalInterface
public interface OutsideInterface {
    /**
     * Makes one call, once.
     *
     * @param maySend asked immediately before the call is written, once a connection exists; if it
     *     returns false, nothing is written
     */
    CompletableFuture<OutsideAnswer> call(OutsideCall call, BooleanSupplier maySend);
}
