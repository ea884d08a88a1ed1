package org.jacinthwharf.process.control;

import java.util.ArrayList;
import java.util.List;
import org.jacinthwharf.wire.generated.Model;

/**
 * The versions of a model whose moves were taken back.
 *
 * <p>Stateless and thread-safe. A rejected version stays apart from the current one, which may have
 * no name before the first completed move, until it is ordered again or none of its servers runs.
 */
final class RejectedVersions {
    /** The oldest are forgotten first; their servers have drained long before. */
    static final int MAX_VERSIONS = 16;

    private RejectedVersions() {}

    /** Adds a version as the newest one. */
    static void add(Model.Builder model, String version) {
        remove(model, version);
        List<String> versions = new ArrayList<>(model.getRejectedVersionsList());
        versions.add(version);
        int first = Math.max(0, versions.size() - MAX_VERSIONS);
        set(model, versions.subList(first, versions.size()));
    }

    /** Removes a version if it is there. */
    static void remove(Model.Builder model, String version) {
        set(
                model,
                model.getRejectedVersionsList().stream().filter(v -> !v.equals(version)).toList());
    }

    private static void set(Model.Builder model, List<String> versions) {
        model.clearRejectedVersions().addAllRejectedVersions(versions);
    }
}
