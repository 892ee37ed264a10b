package umberrun.fleet;

/** What the membership wants done. Calls come in the order in which they are to be carried out. */
public interface Outbox {
  void send(String address, Message message);

  /**
   * Asks for a full exchange; {@code Membership.exchanged} or {@code unreachable} is owed for it.
   */
  void exchange(String address);

  /** Starts a wait, in the place of one of the same kind and subject. */
  void start(Timer timer, long at);

  void cancel(Timer timer);

  void changed(Change change);
}
