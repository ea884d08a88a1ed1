package org.jacinthwharf.process;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentSkipListSet;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards accepted configuration (G11) against the loss of control processes and disks. */
final class ControlProcessesTest {
    private static final List<String> MEMBERS = List.of("c1", "c2", "c3");
    private static final List<String> ROUTERS = List.of("r1", "r2");
    private static final Duration LONG_SUSPENSION = Duration.ofSeconds(4);
    private static final String CUSTOMER = "{\"weight\":2,\"homeRegion\":\"west\"}";

    @TempDir private static Path sFolder;
    private static ProcessFleet sFleet;

    @BeforeAll
    static void startFleet() throws Exception {
        List<String> domains = List.of("lhr-a", "lhr-b", "fsd-a");
        sFleet = new ProcessFleet(sFolder, domains, List.of("lhr-a", "lhr-b"));
    }

    /**
     * Restarts members that a failed test left stopped, so that later tests do not fail as well.
     */
    @BeforeEach
    void restartStoppedMembers() throws Exception {
        for (String m : MEMBERS) {
            if (!sFleet.process(m).isAlive()) {
                sFleet.process(m).start();
            }
            sFleet.process(m).resume();
        }
        awaitAllMembersCaughtUp();
    }

    @AfterAll
    static void endFleet() throws Exception {
        sFleet.close();
    }

    /**
     * Guards against a leader that accepts changes without a majority, or loses accepted changes.
     */
    @Test
    void noAcceptedChangeIsLostAndNoRevisionFallsWhenLeadersAreCutOffAndKilled() throws Exception {
        Set<String> accepted = new ConcurrentSkipListSet<>();
        AtomicBoolean stop = new AtomicBoolean();
        List<String> decreases = new ArrayList<>();
        Thread changes = new Thread(() -> putCustomers("stream-", accepted, stop));
        Thread watch = new Thread(() -> watchRevisions(decreases, stop));
        changes.start();
        watch.start();
        for (int round = 0; round < 2; round++) {
            awaitMore(accepted, 10);
            String leader = leader();
            // Changes that the leader accepted without a majority would be lost when it is killed.
            for (String other : followers()) {
                sFleet.relay(leader, other).partition();
                sFleet.relay(other, leader).partition();
            }
            awaitMore(accepted, 10);
            sFleet.process(leader).kill();
            awaitMore(accepted, 10);
            sFleet.healPartitions();
            sFleet.process(leader).start();
            awaitAllMembersCaughtUp();
        }
        stop.set(true);
        changes.join();
        watch.join();
        sFleet.awaitRevision();
        assertThat(decreases).isEmpty();
        for (String m : MEMBERS) {
            ProcessFleet.await(
                    m + " has all accepted changes", () -> customers(m).containsAll(accepted));
        }
    }

    /**
     * Guards against a member that votes again after losing its disk and the votes recorded there,
     * and against a group that does not survive the loss of a second member afterwards.
     */
    @Test
    void memberWithDeletedDiskJoinsAgainAndThenSecondMemberMayBeLost() throws Exception {
        long before = sFleet.applyChange("/v1/customers/before-loss", CUSTOMER);
        String lost = followers().get(0);
        String oldDisk = diskOf(lost);
        sFleet.process(lost).kill();
        deleteFolder(sFleet.dataFolder(lost));
        sFleet.process(lost).start();
        ProcessFleet.await(
                "the group lists the member once, with its new disk id",
                () -> {
                    String disk = diskOf(lost);
                    return !disk.isEmpty() && !disk.equals(oldDisk) && members().size() == 3;
                });
        String second = leader();
        sFleet.process(second).kill();
        long after = sFleet.applyChange("/v1/customers/after-loss", CUSTOMER);
        assertThat(after).isGreaterThan(before);
        // The member reads its local copy, which may lag by one message.
        ProcessFleet.await(
                "the member that lost its disk has both changes",
                () -> customers(lost).containsAll(List.of("before-loss", "after-loss")));
        sFleet.process(second).start();
        awaitAllMembersCaughtUp();
    }

    /**
     * Guards against a member that raises the term, or serves stale state, after a long suspension.
     */
    @Test
    void memberResumedAfterLongSuspensionDoesNotDisruptGroup() throws Exception {
        suspendAndResume(leader());
        suspendAndResume(followers().get(0));
    }

    private static void suspendAndResume(String suspended) throws Exception {
        sFleet.process(suspended).suspend();
        long since = System.nanoTime();
        ProcessFleet.await("another member leads", () -> leaderOtherThan(suspended) != null);
        String leader = leaderOtherThan(suspended);
        Set<String> accepted = new TreeSet<>();
        // Longer than the maximum election timeout, so the suspended member's timeout has expired
        // when it resumes.
        while (System.nanoTime() - since < LONG_SUSPENSION.toNanos()) {
            accepted.add(suspended + "-while-suspended-" + accepted.size());
            sFleet.applyChange(
                    "/v1/customers/" + suspended + "-while-suspended-" + (accepted.size() - 1),
                    CUSTOMER,
                    leader);
        }
        long term = term(leader);
        sFleet.process(suspended).resume();
        for (int i = 0; i < 50; i++) {
            String id = suspended + "-after-resume-" + i;
            ApiClient.Answer answer =
                    sFleet.sendChange(leader, "/v1/customers/" + id, CUSTOMER, "command-" + id, 0);
            assertWithMessage("%s", answer).that(answer.status()).isEqualTo(200);
        }
        ProcessFleet.await(
                "the resumed member has all changes",
                () -> customers(suspended).containsAll(accepted));
        assertThat(term(leader)).isEqualTo(term);
    }

    /**
     * Guards against lost updates, and against changes applied twice when a command is repeated
     * after a leader change.
     */
    @Test
    void onlyOneOfConcurrentChangesIsAppliedAndRepeatedCommandGetsFirstReply() throws Exception {
        long revision = sFleet.applyChange("/v1/customers/base", CUSTOMER);
        List<ApiClient.Answer> answers =
                MEMBERS.parallelStream()
                        .map(m -> changeAtLeader("race-" + m, "race-of-" + m, revision))
                        .toList();
        List<Integer> statuses = answers.stream().map(ApiClient.Answer::status).sorted().toList();
        assertWithMessage("%s", answers).that(statuses).containsExactly(200, 409, 409).inOrder();

        ApiClient.Answer first = changeAtLeader("repeated", "repeated-command", 0);
        sFleet.applyChange("/v1/customers/in-between", CUSTOMER);
        String killed = leader();
        sFleet.process(killed).kill();
        ApiClient.Answer repeated = changeAtLeader("repeated", "repeated-command", 0);
        assertThat(repeated.json().path("revision").asLong())
                .isEqualTo(first.json().path("revision").asLong());
        sFleet.process(killed).start();
        awaitAllMembersCaughtUp();
    }

    private static ApiClient.Answer changeAtLeader(String customer, String command, long basedOn) {
        return sFleet.sendChange(leader(), "/v1/customers/" + customer, CUSTOMER, command, basedOn);
    }

    private static String leader() {
        // Asked once: a second question may find that the leader was lost meanwhile.
        AtomicReference<String> leader = new AtomicReference<>();
        ProcessFleet.await(
                "a member leads",
                () -> {
                    leader.set(sFleet.leader());
                    return leader.get() != null;
                });
        return leader.get();
    }

    private static String leaderOtherThan(String suspended) {
        for (String m : MEMBERS) {
            JsonNode control = m.equals(suspended) ? null : sFleet.controlStatus(m).path("control");
            if (control != null && control.path("role").asText().equals("leader")) {
                return m;
            }
        }
        return null;
    }

    private static List<String> followers() {
        String leader = leader();
        return MEMBERS.stream().filter(m -> !m.equals(leader)).toList();
    }

    private static long term(String member) {
        return sFleet.controlStatus(member).path("control").path("term").asLong();
    }

    private static JsonNode members() {
        return sFleet.controlStatus(leader()).path("control").path("members");
    }

    private static String diskOf(String member) {
        for (JsonNode m : members()) {
            if (m.path("vmId").asText().equals(member)) {
                return m.path("diskId").asText();
            }
        }
        return "";
    }

    private static Set<String> customers(String member) {
        Set<String> ids = new TreeSet<>();
        sFleet.controlStatus(member).path("customers").forEach(c -> ids.add(c.path("id").asText()));
        return ids;
    }

    private static void putCustomers(String prefix, Set<String> accepted, AtomicBoolean stop) {
        for (int i = 0; !stop.get(); i++) {
            String id = prefix + i;
            try {
                sFleet.applyChange("/v1/customers/" + id, CUSTOMER);
            } catch (IOException e) {
                throw new IllegalStateException("the answer to an accepted change is not JSON", e);
            }
            accepted.add(id);
        }
    }

    private static void watchRevisions(List<String> decreases, AtomicBoolean stop) {
        long[] seen = new long[ROUTERS.size()];
        while (!stop.get()) {
            for (int i = 0; i < seen.length; i++) {
                long revision = sFleet.status(ROUTERS.get(i)).path("revision").asLong(seen[i]);
                if (revision < seen[i]) {
                    decreases.add(ROUTERS.get(i) + " fell from " + seen[i] + " to " + revision);
                }
                seen[i] = revision;
            }
        }
    }

    private static void awaitMore(Set<String> accepted, int count) {
        int before = accepted.size();
        ProcessFleet.await("changes are accepted", () -> accepted.size() >= before + count);
    }

    private static void awaitAllMembersCaughtUp() {
        ProcessFleet.await(
                "no member is behind",
                () -> {
                    long applied = applied(leader());
                    return MEMBERS.stream().allMatch(m -> applied(m) >= applied);
                });
    }

    private static long applied(String member) {
        return sFleet.controlStatus(member).path("control").path("appliedIndex").asLong(-1);
    }

    private static void deleteFolder(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path p : files.sorted(java.util.Comparator.reverseOrder()).toList()) {
                Files.delete(p);
            }
        }
    }
}
