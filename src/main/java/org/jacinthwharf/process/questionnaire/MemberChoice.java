package org.jacinthwharf.process.questionnaire;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Multiset;
import org.jacinthwharf.process.questionnaire.Answers.FailureDomainAnswer;
import org.jacinthwharf.process.questionnaire.Answers.VmAnswer;

/**
 * The VMs that run a control member, and why.
 *
 * <p>Immutable. Invariant: the number of members is odd, each VM has a disk, and no failure domain
 * gets a further member while another one has a VM with a disk and fewer members.
 *
 * @param vmIds the chosen VMs
 * @param notes what operators should know about the choice, one sentence or two each
 */
public record MemberChoice(ImmutableSet<String> vmIds, ImmutableList<String> notes) {

    /** Chooses the control members among the VMs with a disk, of which there is at least one. */
    public static MemberChoice of(Answers answers) {
        int disks = vmsWithDisk(answers);
        int wanted = disks >= 5 ? 5 : disks >= 3 ? 3 : 1;
        int count = answers.controlMembers() == null ? wanted : answers.controlMembers();
        Multiset<String> perDomain = HashMultiset.create();
        ImmutableSet<String> chosen = choose(answers, count, perDomain);
        ImmutableList.Builder<String> notes = ImmutableList.builder();
        if (disks < 3) {
            notes.add(fewDisks(disks));
        }
        if (disks >= 3 && disks > count && disks % 2 == 0) {
            notes.add(
                    ("%s VMs have a disk and %s of them run a control member: an even number of"
                                    + " members needs one more for a majority and so tolerates no"
                                    + " more losses.")
                            .formatted(disks, count));
        }
        for (String domain : perDomain.elementSet()) {
            if (count > 1 && perDomain.count(domain) > count / 2) {
                notes.add(
                        ("Failure domain %s has a majority of the control members: when it is lost,"
                             + " nothing can be changed and calls with a request key are refused"
                             + " until it is back. VMs with a disk in three failure domains avoid"
                             + " this.")
                                .formatted(domain));
            }
        }
        return new MemberChoice(chosen, notes.build());
    }

    static int vmsWithDisk(Answers answers) {
        return (int)
                answers.failureDomains().stream()
                        .flatMap(f -> f.vms().stream())
                        .filter(VmAnswer::disk)
                        .count();
    }

    // Takes the first VM with a disk of every failure domain, then the second of each, and so on.
    private static ImmutableSet<String> choose(
            Answers answers, int count, Multiset<String> perDomain) {
        ImmutableSet.Builder<String> chosen = ImmutableSet.builder();
        int found = 0;
        for (int round = 0; found < count; round++) {
            for (FailureDomainAnswer f : answers.failureDomains()) {
                ImmutableList<VmAnswer> candidates =
                        f.vms().stream()
                                .filter(VmAnswer::disk)
                                .collect(ImmutableList.toImmutableList());
                if (found < count && round < candidates.size()) {
                    chosen.add(candidates.get(round).id());
                    perDomain.add(f.id());
                    found++;
                }
            }
        }
        return chosen.build();
    }

    private static String fewDisks(int disks) {
        return ("%s a disk, so there is one control member. While it is lost, nothing can be"
                        + " changed and calls with a request key are refused; if its disk is lost,"
                        + " the configuration is lost too. %sThree VMs with a disk, in three"
                        + " failure domains, tolerate the loss of any one.")
                .formatted(
                        disks == 1 ? "Only 1 VM has" : "Only 2 VMs have",
                        disks == 1 ? "" : "Two members would stop when either is lost. ");
    }
}
