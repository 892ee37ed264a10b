package umberrun.fleet;

/**
 * One process of a member. Later lives have greater numbers; {@code startId} is drawn with each
 * start and decides between two of one number.
 */
public record ProcessGeneration(int number, long startId) implements Comparable<ProcessGeneration> {
  @Override
  public int compareTo(ProcessGeneration o) {
    return number != o.number
        ? Integer.compare(number, o.number)
        : Long.compareUnsigned(startId, o.startId);
  }

  @Override
  public String toString() {
    return number + "/" + Long.toHexString(startId);
  }
}
