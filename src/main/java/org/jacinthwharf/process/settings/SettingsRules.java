package org.jacinthwharf.process.settings;

import com.google.common.collect.ImmutableList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Rules that involve several values of a settings file, which a JSON schema cannot express.
 *
 * <p>Stateless and thread-safe.
 */
final class SettingsRules {
    /** Returns the problems of router settings; empty if there are none. */
    ImmutableList<SettingsProblem> check(String file, RouterSettings s) {
        ImmutableList.Builder<SettingsProblem> problems = ImmutableList.builder();
        boolean listed =
                s.routers().stream()
                        .anyMatch(
                                r ->
                                        r.vmId().equals(s.vmId())
                                                && r.failureDomain().equals(s.failureDomain())
                                                && r.peer().equals(s.listen().peer()));
        if (!listed) {
            problems.add(
                    new SettingsProblem(
                            file,
                            "/routers",
                            s.vmId(),
                            "must list this router with its failure domain and listen.peer"));
        }
        checkUnique(
                file, "/routers", s.routers().stream().map(RouterPeer::vmId).toList(), problems);
        checkMembers(file, s.controlMembers(), problems);
        if (s.limits().defaultDeadlineMs() > s.limits().maxDeadlineMs()) {
            problems.add(
                    new SettingsProblem(
                            file,
                            "/limits/defaultDeadlineMs",
                            "" + s.limits().defaultDeadlineMs(),
                            "must not be above maxDeadlineMs, " + s.limits().maxDeadlineMs()));
        }
        return problems.build();
    }

    /** Returns the problems of control settings; empty if there are none. */
    ImmutableList<SettingsProblem> check(String file, ControlSettings s) {
        ImmutableList.Builder<SettingsProblem> problems = ImmutableList.builder();
        boolean listed =
                s.controlMembers().stream()
                        .anyMatch(
                                m ->
                                        m.vmId().equals(s.vmId())
                                                && m.peer().equals(s.listen().peer()));
        if (!listed) {
            problems.add(
                    new SettingsProblem(
                            file,
                            "/controlMembers",
                            s.vmId(),
                            "must list this member with its listen.peer"));
        }
        checkMembers(file, s.controlMembers(), problems);
        checkUnique(
                file, "/routers", s.routers().stream().map(RouterPeer::vmId).toList(), problems);
        return problems.build();
    }

    private static void checkMembers(
            String file,
            List<ControlPeer> members,
            ImmutableList.Builder<SettingsProblem> problems) {
        List<String> ids = members.stream().map(ControlPeer::vmId).toList();
        checkUnique(file, "/controlMembers", ids, problems);
        if (members.size() % 2 == 0) {
            problems.add(
                    new SettingsProblem(
                            file,
                            "/controlMembers",
                            members.size() + " members",
                            "must be an odd number, since an even one tolerates no more losses"));
        }
    }

    private static void checkUnique(
            String file,
            String path,
            List<String> ids,
            ImmutableList.Builder<SettingsProblem> problems) {
        Set<String> seen = new HashSet<>();
        for (String id : ids) {
            if (!seen.add(id)) {
                problems.add(new SettingsProblem(file, path, id, "must be listed once"));
            }
        }
    }
}
