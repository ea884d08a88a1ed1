package org.jacinthwharf.process.membership;

import com.google.common.collect.ImmutableSortedSet;
import java.util.List;
import java.util.Optional;
import org.jacinthwharf.id.RouterIncarnation;
import org.jacinthwharf.id.VmId;

/** Parses router incarnations in messages. Stateless and thread-safe. */
final class MemberIds {
    private MemberIds() {}

    /** Parses an id of the form {@code vmId/incarnation}; returns empty if it is malformed. */
    static Optional<RouterIncarnation> parse(String text) {
        int slash = text.indexOf('/');
        if (slash < 0) {
            return Optional.empty();
        }
        try {
            long incarnation = Long.parseLong(text.substring(slash + 1));
            return incarnation < 0
                    ? Optional.empty()
                    : VmId.parse(text.substring(0, slash))
                            .map(vm -> RouterIncarnation.of(vm, incarnation));
        } catch (NumberFormatException expected) {
            return Optional.empty();
        }
    }

    /** Parses {@code texts} and skips malformed ones. */
    static ImmutableSortedSet<RouterIncarnation> parseAll(List<String> texts) {
        return texts.stream()
                .flatMap(text -> parse(text).stream())
                .collect(ImmutableSortedSet.toImmutableSortedSet(View.MEMBER_ORDER));
    }

    /** Returns the voter id that {@code text} denotes: a VM id or the witness. */
    static String voterOf(String text) {
        return parse(text).map(member -> member.vm().value()).orElse(text);
    }
}
