package org.jacinthwharf.request.admission;

import java.util.Optional;
import org.jacinthwharf.id.ModelId;
import org.jacinthwharf.id.PoolId;
import org.jacinthwharf.id.VersionId;
import org.jacinthwharf.wire.generated.Pool;

/** Converts pools to and from protobuf messages. */
final class PoolMessages {
    private PoolMessages() {}

    static Pool toMessage(PoolId pool) {
        return Pool.newBuilder()
                .setModel(pool.model().value())
                .setVersion(pool.version().value())
                .build();
    }

    /** Returns the pool, or empty if its model or version is not one that routers accept. */
    static Optional<PoolId> parse(Pool pool) {
        return parse(pool.getModel(), pool.getVersion());
    }

    static Optional<PoolId> parse(String model, String version) {
        return ModelId.parse(model)
                .flatMap(m -> VersionId.parse(version).map(v -> PoolId.of(m, v)));
    }
}
