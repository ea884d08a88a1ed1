package org.jacinthwharf.id;

/**
 * Identifies the pool of backend servers that run one version of one model.
 *
 * <p>Immutable.
 *
 * @param model the model or plain service
 * @param version the version that the backend servers run
 */
public record PoolId(ModelId model, VersionId version) {
    /** Returns the pool of {@code model} in {@code version}. */
    public static PoolId of(ModelId model, VersionId version) {
        return new PoolId(model, version);
    }

    @Override
    public String toString() {
        return model + "@" + version;
    }
}
