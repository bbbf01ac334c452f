package org.hawthornglade.app;

/** Starts the command named by the first argument. */
public final class Main {
    private Main() {}

    public static void main(String[] args) {
        System.out.println("hawthornglade");
    }
}
