package org.jacinthwharf.process.questionnaire;

import com.google.common.collect.ImmutableList;
import com.google.common.net.InetAddresses;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jacinthwharf.process.questionnaire.Answers.FailureDomainAnswer;
import org.jacinthwharf.process.questionnaire.Answers.VmAnswer;
import org.jacinthwharf.process.settings.SettingsProblem;

/**
 * Rules that span several answers, which a JSON schema cannot express.
 *
 * <p>Immutable and thread-safe.
 */
final class AnswersRules {
    private final boolean mVmsShareIps;

    AnswersRules(boolean vmsShareIps) {
        mVmsShareIps = vmsShareIps;
    }

    /** Returns the problems of the answers; empty if there are none. */
    ImmutableList<SettingsProblem> check(String source, Answers answers) {
        Problems problems = new Problems(source);
        checkFailureDomains(answers, problems);
        Map<String, String> names = new LinkedHashMap<>();
        for (int i = 0; i < answers.models().size(); i++) {
            problems.requireUnique(names, "/models/" + i + "/id", answers.models().get(i).id());
        }
        // Requests address models and plain services alike, so both share one namespace.
        for (int i = 0; i < answers.services().size(); i++) {
            problems.requireUnique(names, "/services/" + i + "/id", answers.services().get(i).id());
        }
        if (names.isEmpty()) {
            problems.add("/models", "[]", "must hold a model unless there is a plain service");
        }
        Map<String, String> customers = new HashMap<>();
        for (int i = 0; i < answers.customers().size(); i++) {
            problems.requireUnique(
                    customers, "/customers/" + i + "/id", answers.customers().get(i).id());
        }
        checkPorts(answers.ports(), problems);
        checkDisks(answers, problems);
        return problems.mProblems.build();
    }

    private void checkFailureDomains(Answers answers, Problems problems) {
        Map<String, String> domains = new HashMap<>();
        Map<String, String> vms = new HashMap<>();
        Map<String, String> ips = new HashMap<>();
        List<FailureDomainAnswer> all = answers.failureDomains();
        for (int i = 0; i < all.size(); i++) {
            String path = "/failureDomains/" + i;
            problems.requireUnique(domains, path + "/id", all.get(i).id());
            for (int j = 0; j < all.get(i).vms().size(); j++) {
                VmAnswer vm = all.get(i).vms().get(j);
                String vmPath = path + "/vms/" + j;
                problems.requireUnique(vms, vmPath + "/id", vm.id());
                if (!InetAddresses.isInetAddress(vm.ip())) {
                    problems.add(
                            vmPath + "/ip", vm.ip(), "must be an IP address, such as 10.0.0.1");
                } else if (!mVmsShareIps) {
                    problems.requireUnique(ips, vmPath + "/ip", vm.ip());
                }
            }
        }
    }

    private static void checkPorts(Ports p, Problems problems) {
        Map<String, String> seen = new HashMap<>();
        problems.requireUnique(seen, "/ports/routerHttp", "" + p.routerHttp());
        problems.requireUnique(seen, "/ports/routerPeer", "" + p.routerPeer());
        problems.requireUnique(seen, "/ports/routerAdmin", "" + p.routerAdmin());
        problems.requireUnique(seen, "/ports/controlHttp", "" + p.controlHttp());
        problems.requireUnique(seen, "/ports/controlPeer", "" + p.controlPeer());
        problems.requireUnique(seen, "/ports/controlAdmin", "" + p.controlAdmin());
    }

    private static void checkDisks(Answers answers, Problems problems) {
        int disks = MemberChoice.vmsWithDisk(answers);
        if (disks == 0) {
            problems.add(
                    "/failureDomains",
                    "no VM with a disk",
                    "must have a VM with a disk, since control members keep the configuration and"
                            + " the request keys on disk; three VMs in three failure domains"
                            + " tolerate the loss of one");
        } else if (answers.controlMembers() != null && answers.controlMembers() > disks) {
            problems.add(
                    "/controlMembers",
                    "" + answers.controlMembers(),
                    "must not be above the number of VMs with a disk, " + disks);
        }
    }

    private static final class Problems {
        private final ImmutableList.Builder<SettingsProblem> mProblems = ImmutableList.builder();
        private final String mSource;

        Problems(String source) {
            mSource = source;
        }

        void add(String path, String value, String expected) {
            mProblems.add(new SettingsProblem(mSource, path, value, expected));
        }

        void requireUnique(Map<String, String> seen, String path, String value) {
            String other = seen.putIfAbsent(value, path);
            if (other != null) {
                add(path, value, "must differ from " + other);
            }
        }
    }
}
