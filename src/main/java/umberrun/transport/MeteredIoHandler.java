package umberrun.transport;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoRegistration;
import umberrun.stats.EventLoopMeter;

/**
 * Tells the meter when the event loop waits for events. The wait itself is within the delegate, so
 * a turn begins with the first event that the delegate handles, or with the tasks after it.
 */
final class MeteredIoHandler implements IoHandler {
  private final IoHandler delegate;
  private final EventLoopMeter meter;

  MeteredIoHandler(IoHandler delegate, EventLoopMeter meter) {
    this.delegate = delegate;
    this.meter = meter;
  }

  @Override
  public int run(IoHandlerContext context) {
    meter.endTurn(System.nanoTime());
    int handled = delegate.run(context);
    meter.beginTurn(System.nanoTime());
    return handled;
  }

  @Override
  public void initialize() {
    delegate.initialize();
  }

  @Override
  public void prepareToDestroy() {
    delegate.prepareToDestroy();
  }

  @Override
  public void destroy() {
    delegate.destroy();
  }

  @Override
  public IoRegistration register(IoHandle handle) throws Exception {
    return delegate.register(handle);
  }

  @Override
  public void wakeup() {
    delegate.wakeup();
  }

  @Override
  public boolean isCompatible(Class<? extends IoHandle> handleType) {
    return delegate.isCompatible(handleType);
  }
}
