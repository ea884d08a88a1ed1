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
    private static final Duration LONG_FREEZE = Duration.ofSeconds(4);
    private static final String CUSTOMER = "{\"weight\":2,\"homeRegion\":\"west\"}";

    @TempDir private static Path sFolder;
    private static ProcessFleet sFleet;

    @BeforeAll
    static void startFleet() throws Exception {
        List<String> domains = List.of("lhr-a", "lhr-b", "fsd-a");
        sFleet = new ProcessFleet(sFolder, domains, List.of("lhr-a", "lhr-b"));
    }

    /** Starts what a failed test left stopped, so that each failure shows one cause. */
    @BeforeEach
    void startStoppedMembers() throws Exception {
        for (String m : MEMBERS) {
            if (!sFleet.child(m).isAlive()) {
                sFleet.child(m).start();
            }
            sFleet.child(m).wake();
        }
        awaitAllMembersHaveTheSame();
    }

    @AfterAll
    static void endFleet() throws Exception {
        sFleet.close();
    }

    /** Guards against a change that a leader accepts without a majority, or forgets. */
    @Test
    void noAcceptedChangeIsLostAndNoRevisionFallsWhenLeadersAreCutOffAndKilled() throws Exception {
        Set<String> accepted = new ConcurrentSkipListSet<>();
        AtomicBoolean stop = new AtomicBoolean();
        List<String> falls = new ArrayList<>();
        Thread changes = new Thread(() -> putCustomers("stream-", accepted, stop));
        Thread watch = new Thread(() -> watchRevisions(falls, stop));
        changes.start();
        watch.start();
        for (int round = 0; round < 2; round++) {
            awaitMore(accepted, 10);
            String leader = leader();
            // A leader that accepts changes alone loses them with the kill.
            for (String other : followers()) {
                sFleet.relay(leader, other).cut();
                sFleet.relay(other, leader).cut();
            }
            awaitMore(accepted, 10);
            sFleet.child(leader).kill();
            awaitMore(accepted, 10);
            sFleet.rejoin();
            sFleet.child(leader).start();
            awaitAllMembersHaveTheSame();
        }
        stop.set(true);
        changes.join();
        watch.join();
        sFleet.awaitRevision();
        assertThat(falls).isEmpty();
        for (String m : MEMBERS) {
            ProcessFleet.await(
                    m + " has all accepted changes", () -> customers(m).containsAll(accepted));
        }
    }

    /** Guards against votes of a member that forgot what it promised, and a second loss after. */
    @Test
    void memberWithDeletedDiskJoinsAgainAndThenSecondMemberMayBeLost() throws Exception {
        long before = sFleet.changed("/v1/customers/before-loss", CUSTOMER);
        String lost = followers().get(0);
        String oldDisk = diskOf(lost);
        sFleet.child(lost).kill();
        deleteFolder(sFleet.dataFolder(lost));
        sFleet.child(lost).start();
        ProcessFleet.await(
                "the group has the member with its new disk and no other of it",
                () -> {
                    String disk = diskOf(lost);
                    return !disk.isEmpty() && !disk.equals(oldDisk) && members().size() == 3;
                });
        String second = leader();
        sFleet.child(second).kill();
        long after = sFleet.changed("/v1/customers/after-loss", CUSTOMER);
        assertThat(after).isGreaterThan(before);
        // The member reads its own copy, which may be one message behind.
        ProcessFleet.await(
                "the member that lost its disk has both changes",
                () -> customers(lost).containsAll(List.of("before-loss", "after-loss")));
        sFleet.child(second).start();
        awaitAllMembersHaveTheSame();
    }

    /**
     * Guards against a member that raises terms, or answers with old state, after a long freeze.
     */
    @Test
    void memberFrozenForLongComesBackWithoutDisturbing() throws Exception {
        freezeAndWake(leader());
        freezeAndWake(followers().get(0));
    }

    private static void freezeAndWake(String frozen) throws Exception {
        sFleet.child(frozen).freeze();
        long since = System.nanoTime();
        ProcessFleet.await("another member leads", () -> leaderExcept(frozen) != null);
        String leader = leaderExcept(frozen);
        Set<String> accepted = new TreeSet<>();
        // Longer than every election timeout, so that the frozen member's own has passed.
        while (System.nanoTime() - since < LONG_FREEZE.toNanos()) {
            accepted.add(frozen + "-frozen-" + accepted.size());
            sFleet.changed(
                    "/v1/customers/" + frozen + "-frozen-" + (accepted.size() - 1),
                    CUSTOMER,
                    leader);
        }
        long term = term(leader);
        sFleet.child(frozen).wake();
        for (int i = 0; i < 50; i++) {
            String id = frozen + "-woken-" + i;
            Call.Answer answer =
                    sFleet.change(leader, "/v1/customers/" + id, CUSTOMER, "command-" + id, 0);
            assertWithMessage("%s", answer).that(answer.status()).isEqualTo(200);
        }
        ProcessFleet.await(
                "the woken member has all changes", () -> customers(frozen).containsAll(accepted));
        assertThat(term(leader)).isEqualTo(term);
    }

    /** Guards against a lost update, and a change that takes effect twice after a lost answer. */
    @Test
    void oneOfTwoRacingOperatorsWinsAndRepeatedCommandGetsItsFirstReply() throws Exception {
        long revision = sFleet.changed("/v1/customers/base", CUSTOMER);
        List<Call.Answer> answers =
                MEMBERS.parallelStream()
                        .map(m -> changeAtLeader("race-" + m, "race-of-" + m, revision))
                        .toList();
        List<Integer> statuses = answers.stream().map(Call.Answer::status).sorted().toList();
        assertWithMessage("%s", answers).that(statuses).containsExactly(200, 409, 409).inOrder();

        Call.Answer first = changeAtLeader("repeated", "repeated-command", 0);
        sFleet.changed("/v1/customers/in-between", CUSTOMER);
        String killed = leader();
        sFleet.child(killed).kill();
        Call.Answer again = changeAtLeader("repeated", "repeated-command", 0);
        assertThat(again.json().path("revision").asLong())
                .isEqualTo(first.json().path("revision").asLong());
        sFleet.child(killed).start();
        awaitAllMembersHaveTheSame();
    }

    private static Call.Answer changeAtLeader(String customer, String command, long basedOn) {
        return sFleet.change(leader(), "/v1/customers/" + customer, CUSTOMER, command, basedOn);
    }

    private static String leader() {
        ProcessFleet.await("a member leads", () -> sFleet.leader() != null);
        return sFleet.leader();
    }

    private static String leaderExcept(String frozen) {
        for (String m : MEMBERS) {
            JsonNode control = m.equals(frozen) ? null : sFleet.controlStatus(m).path("control");
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
                sFleet.changed("/v1/customers/" + id, CUSTOMER);
            } catch (IOException e) {
                throw new IllegalStateException("the answer to an accepted change is no JSON", e);
            }
            accepted.add(id);
        }
    }

    private static void watchRevisions(List<String> falls, AtomicBoolean stop) {
        long[] seen = new long[ROUTERS.size()];
        while (!stop.get()) {
            for (int i = 0; i < seen.length; i++) {
                long revision = sFleet.status(ROUTERS.get(i)).path("revision").asLong(seen[i]);
                if (revision < seen[i]) {
                    falls.add(ROUTERS.get(i) + " fell from " + seen[i] + " to " + revision);
                }
                seen[i] = revision;
            }
        }
    }

    private static void awaitMore(Set<String> accepted, int count) {
        int before = accepted.size();
        ProcessFleet.await("changes are accepted", () -> accepted.size() >= before + count);
    }

    private static void awaitAllMembersHaveTheSame() {
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
