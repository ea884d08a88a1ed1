package org.jacinthwharf.cli;

/** Entry point of the executable jar. */
public final class Main {
    private Main() {}

    /** Runs the command named by {@code args}. */
    public static void main(String[] args) {}
}
