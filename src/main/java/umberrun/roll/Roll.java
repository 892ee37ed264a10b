package umberrun.roll;

/** A source of the list of workers; what it learns goes to the owner. */
public interface Roll {
  void start();

  void stop();
}
