package umberrun.fleet;

/**
 * Identifies one process among those that have run under a member name.
 *
 * @param number grows with each process that takes over the name
 * @param startId a random number drawn at each start; it orders two processes of the same number
 */
public record ProcessGeneration(int number, long startId) implements Comparable<ProcessGeneration> {
  @Override
  public int compareTo(ProcessGeneration other) {
    return number != other.number
        ? Integer.compare(number, other.number)
        : Long.compareUnsigned(startId, other.startId);
  }

  @Override
  public String toString() {
    return number + "/" + Long.toHexString(startId);
  }
}
