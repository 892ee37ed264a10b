package umberrun.fleet;

/**
 * The actions that a {@link Membership} requests. They must be carried out in the order of the
 * calls.
 */
public interface MembershipOutbox {
  void send(String address, GossipMessage message);

  /**
   * Requests a full exchange with an address; the result must be reported by {@link
   * Membership#onExchange} or {@link Membership#onUnreachable}.
   */
  void exchange(String address);

  /**
   * Starts a timer; it replaces a running timer of the same kind and subject.
   *
   * @param at when it is due, in microseconds of this member's steady clock
   */
  void startTimer(MembershipTimer timer, long at);

  void cancelTimer(MembershipTimer timer);

  void onMembershipChange(MembershipChange change);
}
