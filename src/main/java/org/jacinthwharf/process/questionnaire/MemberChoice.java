package org.jacinthwharf.process.questionnaire;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Multiset;
import org.jacinthwharf.process.questionnaire.Answers.FailureDomainAnswer;
import org.jacinthwharf.process.questionnaire.Answers.VmAnswer;

/**
 * The VMs that run a control member.
 *
 * <p>Immutable. Invariant: the number of members is odd, each chosen VM has a disk, and members are
 * spread evenly: no failure domain gets another member while one with fewer members still has a VM
 * with a disk.
 *
 * @param vmIds the chosen VMs
 * @param notes remarks for operators about the choice, one or two sentences each
 */
public record MemberChoice(ImmutableSet<String> vmIds, ImmutableList<String> notes) {

    /** Chooses among the VMs with a disk; there must be at least one. */
    public static MemberChoice of(Answers answers) {
        int disks = vmsWithDisk(answers);
        int defaultCount = disks >= 5 ? 5 : disks >= 3 ? 3 : 1;
        int count = answers.controlMembers() == null ? defaultCount : answers.controlMembers();
        Multiset<String> membersPerDomain = HashMultiset.create();
        ImmutableSet<String> chosen = spreadOverFailureDomains(answers, count, membersPerDomain);
        ImmutableList.Builder<String> notes = ImmutableList.builder();
        if (disks < 3) {
            notes.add(fewDisksNote(disks));
        }
        if (disks >= 3 && disks > count && disks % 2 == 0) {
            notes.add(
                    ("%s VMs have a disk and %s of them run a control member: an even number of"
                                    + " members needs one more for a majority and so tolerates no"
                                    + " more losses.")
                            .formatted(disks, count));
        }
        for (String domain : membersPerDomain.elementSet()) {
            if (count > 1 && membersPerDomain.count(domain) > count / 2) {
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

    // Chooses the first VM with a disk in every failure domain, then the second in each, and so on.
    private static ImmutableSet<String> spreadOverFailureDomains(
            Answers answers, int count, Multiset<String> membersPerDomain) {
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
                    membersPerDomain.add(f.id());
                    found++;
                }
            }
        }
        return chosen.build();
    }

    private static String fewDisksNote(int disks) {
        return ("%s a disk, so there is one control member. While it is lost, nothing can be"
                        + " changed and calls with a request key are refused; if its disk is lost,"
                        + " the configuration is lost too. %sThree VMs with a disk, in three"
                        + " failure domains, tolerate the loss of any one.")
                .formatted(
                        disks == 1 ? "Only 1 VM has" : "Only 2 VMs have",
                        disks == 1 ? "" : "Two members would stop when either is lost. ");
    }
}
