package org.jacinthwharf.request.crash;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * When servers last survived certain subjects, for the subjects used most recently.
 *
 * <p>Not thread-safe. Invariant: memory is bounded, however many subjects callers send.
 */
final class AnsweredSubjects {
    private static final int MAX_SUBJECTS = 8_192;

    private final Map<CrashSubject, Long> mTimesNanos =
            new LinkedHashMap<>(16, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<CrashSubject, Long> eldest) {
                    return size() > MAX_SUBJECTS;
                }
            };

    void onAnswered(Collection<CrashSubject> subjects, long nowNanos) {
        subjects.forEach(s -> mTimesNanos.put(s, nowNanos));
    }

    OptionalLong lastNanos(CrashSubject subject) {
        Long nanos = mTimesNanos.get(subject);
        return nanos == null ? OptionalLong.empty() : OptionalLong.of(nanos);
    }
}
