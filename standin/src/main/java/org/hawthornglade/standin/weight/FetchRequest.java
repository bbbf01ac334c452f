package org.hawthornglade.standin.weight;

/**
 * Asks for a checkpoint.
 *
 * @param model the model
 * @param version its version
 * @param sizeMb how large it is, in MiB
 */
public record FetchRequest(String model, String version, int sizeMb) {
    /** Checks the size. */
    public FetchRequest {
        if (sizeMb < 0) {
            throw new IllegalArgumentException("sizeMb is negative: " + sizeMb);
        }
    }
}
