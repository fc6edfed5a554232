//! Accounting of requests in progress at targets.

use std::rc::Rc;

use super::metadata::{Prompt, ResponseMetadata};
use super::state::Gateway;
use crate::fleet::Dispatch;
use crate::ids::TargetStart;
use crate::scheduler::{EndReason, PlacementEvent, TicketId};

/// A request that is in progress at a target. The fleet view and the scheduler account for it until
/// this is dropped.
pub struct InFlightRequest {
    gateway: Rc<Gateway>,
    dispatch: Option<Dispatch>,
    ticket: Option<TicketId>,
    end: EndReason,
}

impl InFlightRequest {
    /// Registers a request at a target; `ticket` identifies its placement by the scheduler.
    pub fn new(
        gateway: &Rc<Gateway>,
        target: &TargetStart,
        ticket: Option<TicketId>,
        prompt: Option<&Prompt>,
    ) -> InFlightRequest {
        let (prompt_tokens, output_tokens) =
            prompt.map_or((0, 0), |prompt| (prompt.prompt_tokens, prompt.output_tokens));
        let dispatch =
            gateway.fleet.borrow_mut().begin_prompt(target, prompt_tokens, output_tokens);
        InFlightRequest {
            gateway: gateway.clone(),
            dispatch: Some(dispatch),
            ticket,
            end: EndReason::Cancelled,
        }
    }

    /// Records that response data has arrived, so that the target has read the prompt.
    pub fn prompt_read(&mut self, response_metadata: &ResponseMetadata) {
        let Some(dispatch) = &mut self.dispatch else { return };
        if !self.gateway.fleet.borrow_mut().end_prefill(dispatch) {
            return;
        }
        if let Some(ticket) = self.ticket {
            self.gateway.scheduler.send_event(PlacementEvent::FirstToken {
                ticket,
                weight_version: response_metadata.weight_version,
                load: response_metadata.load,
                rate_limit: response_metadata.rate_limit,
            });
        }
    }

    /// Sets how the request ended at the target. The default is that the caller left.
    pub fn set_end(&mut self, end: EndReason) {
        self.end = end;
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        if let Some(dispatch) = self.dispatch.take() {
            self.gateway.fleet.borrow_mut().end(dispatch);
        }
        if let Some(ticket) = self.ticket {
            self.gateway.scheduler.send_event(PlacementEvent::Ended { ticket, end: self.end });
        }
    }
}
