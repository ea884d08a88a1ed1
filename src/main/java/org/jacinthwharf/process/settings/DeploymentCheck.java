package org.jacinthwharf.process.settings;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks that the settings of the processes of one deployment are consistent.
 *
 * <p>Not thread-safe. Invariant: every file is compared with the first one added, and every address
 * with all addresses added before, so the order of files decides only which file a problem names.
 */
public final class DeploymentCheck {
    private final ImmutableList.Builder<SettingsProblem> mProblems = ImmutableList.builder();
    private final Map<Endpoint, String> mEndpointUses = new HashMap<>();
    private final Map<String, String> mFilesByProcess = new HashMap<>();
    private final Map<String, String> mDomainsByVm = new HashMap<>();
    private String mFirstFile = "";
    private ImmutableSet<RouterPeer> mRouters = ImmutableSet.of();
    private ImmutableSet<ControlPeer> mMembers = ImmutableSet.of();

    /** Adds the settings of a router. */
    public void add(String file, RouterSettings s) {
        addPeers(file, s.routers(), s.controlMembers());
        addProcess(file, "router", s.vmId(), s.region() + "/" + s.failureDomain());
        addListen(file, s.listen());
    }

    /** Adds the settings of a control member. */
    public void add(String file, ControlSettings s) {
        addPeers(file, s.routers(), s.controlMembers());
        addProcess(file, "control", s.vmId(), s.region() + "/" + s.failureDomain());
        addListen(file, s.listen());
    }

    /** Returns the problems found so far; empty if there are none. */
    public ImmutableList<SettingsProblem> problems() {
        return mProblems.build();
    }

    private void addPeers(String file, List<RouterPeer> routers, List<ControlPeer> members) {
        if (mFirstFile.isEmpty()) {
            mFirstFile = file;
            mRouters = ImmutableSet.copyOf(routers);
            mMembers = ImmutableSet.copyOf(members);
            return;
        }
        compare(file, "/routers", mRouters, ImmutableSet.copyOf(routers));
        compare(file, "/controlMembers", mMembers, ImmutableSet.copyOf(members));
    }

    private void compare(String file, String path, Set<?> expected, Set<?> actual) {
        if (!expected.equals(actual)) {
            problem(
                    file,
                    path,
                    "only here: "
                            + Sets.difference(actual, expected)
                            + ", missing: "
                            + Sets.difference(expected, actual),
                    "must list the same entries as " + mFirstFile);
        }
    }

    private void addProcess(String file, String role, String vmId, String domain) {
        String other = mFilesByProcess.putIfAbsent(role + " " + vmId, file);
        if (other != null) {
            problem(file, "/vmId", vmId, "must differ from " + other + ", which has the same role");
        }
        String known = mDomainsByVm.putIfAbsent(vmId, domain);
        if (known != null && !known.equals(domain)) {
            problem(
                    file,
                    "/failureDomain",
                    domain,
                    "must be " + known + " as in the other file of VM " + vmId);
        }
    }

    private void addListen(String file, Listen listen) {
        addEndpoint(file, "/listen/http", listen.http());
        addEndpoint(file, "/listen/peer", listen.peer());
        addEndpoint(file, "/listen/admin", listen.admin());
    }

    private void addEndpoint(String file, String path, Endpoint endpoint) {
        String other = mEndpointUses.putIfAbsent(endpoint, file + " " + path);
        if (other != null) {
            problem(file, path, endpoint.toString(), "must differ from " + other);
        }
    }

    private void problem(String file, String path, String value, String expected) {
        mProblems.add(new SettingsProblem(file, path, value, expected));
    }
}
