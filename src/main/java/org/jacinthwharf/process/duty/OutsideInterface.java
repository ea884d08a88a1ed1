package org.jacinthwharf.process.duty;

import java.util.concurrent.CompletableFuture;

/**
 * Makes outside calls; implemented by the adapter of a deployment.
 *
 * <p>Called on the event loop only; futures complete on it, never exceptionally.
 */
@FunctionalInterface
public interface OutsideInterface {
    /** Makes one call, once. */
    CompletableFuture<OutsideAnswer> call(OutsideCall call);
}
