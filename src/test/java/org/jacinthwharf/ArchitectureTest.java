package org.jacinthwharf;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** Guards the rules that keep decision code deterministic: no I/O, clocks or randomness. */
@AnalyzeClasses(packages = "org.jacinthwharf", importOptions = ImportOption.DoNotIncludeTests.class)
final class ArchitectureTest {
    private static final String[] DETERMINISTIC_PACKAGES = {
        "org.jacinthwharf.id..",
        "org.jacinthwharf.request..",
        "org.jacinthwharf.version..",
        "org.jacinthwharf.process.membership..",
        "org.jacinthwharf.process.scaling.."
    };

    @ArchTest
    static final ArchRule DETERMINISTIC_PACKAGES_DO_NO_IO =
            noClasses()
                    .that()
                    .resideInAnyPackage(DETERMINISTIC_PACKAGES)
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(
                            "io.netty..",
                            "org.eclipse.jetty..",
                            "java.io..",
                            "java.net..",
                            "java.nio.channels..",
                            "java.nio.file..")
                    .allowEmptyShould(true);

    @ArchTest
    static final ArchRule DETERMINISTIC_PACKAGES_READ_NO_CLOCK =
            noClasses()
                    .that()
                    .resideInAnyPackage(DETERMINISTIC_PACKAGES)
                    .should()
                    .callMethod(System.class, "nanoTime")
                    .orShould()
                    .callMethod(System.class, "currentTimeMillis")
                    .orShould()
                    .callMethod(Math.class, "random")
                    .orShould()
                    .dependOnClassesThat()
                    .haveFullyQualifiedName("java.lang.Thread")
                    .allowEmptyShould(true);
}
