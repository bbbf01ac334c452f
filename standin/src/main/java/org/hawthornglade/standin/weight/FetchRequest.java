package org.hawthornglade.standin.weight;

/**
 * A request to fetch a checkpoint.
 *
 * @param model the model
 * @param version the version of the model
 * @param sizeMb the size of the checkpoint, in MiB
 */
public record FetchRequest(String model, String version, int sizeMb) {
    /** Checks the size. */
    public FetchRequest {
        if (sizeMb < 0) {
            throw new IllegalArgumentException("sizeMb is negative: " + sizeMb);
        }
    }
}
